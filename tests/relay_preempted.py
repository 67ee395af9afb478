"""Targets that are processes of their own run out of memory: the newest request is
preempted, also in the middle of its answer, and read again from its start. Some of
the processes are killed. Callers get each piece once and in order, and no proper end
before the last piece.

    python3 tests/relay_preempted.py BUILD [--seed N] [--seconds S] [--modes MODE...]

A request names what its run sends when it goes on: "on" the pieces that are missing,
"again" all of its events from the first one."""
import argparse
import collections
import http.client
import json
import os
import random
import re
import signal
import subprocess
import sys
import threading
import time

from relay_fleet import BEHAVIOR_HEADER, KEY, Target, run_checks
from target_process import FleetOfTarget, Records

Kind = collections.namedtuple("Kind", "route pieces prompt pause_s")
KINDS = {"few": Kind("resume", 6, 30, 0.02),
         "many": Kind("resume", 70, 30, 0.01),
         "fixed": Kind("streaming", 13, 50, 0.02),
         "safe": Kind("safe", 14, 10, 0.005),
         "unsafe": Kind("unsafe", 14, 10, 0.005)}
STREAMS = ("resume", "streaming")
MODES = ("on", "again")
TRIES = {"resume": 8, "safe": 4}
EVENT = re.compile(rb"id: (\d+)\ndata: p(\d+)\n\n")
LINE = re.compile(rb"(\d+) p(\d+)\n")
TARGETS, CALLERS = 4, 12
CAPACITY = 170  # tokens
READ_S = 0.002  # for each token of a prompt
RESTART_S, KILL_EACH_S = 0.3, 1
MIN_WHOLE, MIN_PREEMPTED = 30, 10  # of each mode; a run with fewer shows nothing
ProcessSettings = collections.namedtuple(
    "ProcessSettings", "port shift members records id host dc")


class Memory:
    """Of a target, in tokens; the newest run yields when it is full."""

    def __init__(self):
        self.changed = threading.Condition()
        self.used = {}  # from run to tokens, in the order of admission

    def admit(self, run, tokens):
        with self.changed:
            self.changed.wait_for(
                lambda: sum(self.used.values()) + tokens <= CAPACITY)
            self.used[run] = tokens

    def grow(self, run):
        """Takes a token. Returns False if the run has been preempted."""
        with self.changed:
            if run not in self.used:
                return False
            self.used[run] += 1
            while sum(self.used.values()) > CAPACITY:
                self.used.popitem()
            self.changed.notify_all()
            return run in self.used

    def release(self, run):
        with self.changed:
            self.used.pop(run, None)
            self.changed.notify_all()


class PreemptingTarget(Target):
    records, memory = None, Memory()

    def answer_out_of_order(self, conn, seal, echo, behavior, start, first):
        name, *how = behavior.split("-")
        if name not in KINDS:
            return super().answer_out_of_order(conn, seal, echo, behavior, start,
                                               first)
        kind, run = KINDS[name], object()
        framing, mode = how
        chunked = framing == "chunked"
        conn.sendall(("HTTP/1.1 200 OK\r\n%s%s%s\r\n" % (
            seal, "Content-Type: text/event-stream\r\n"
            if kind.route in STREAMS else "",
            "Transfer-Encoding: chunked\r\n" if chunked else "")).encode())
        try:
            self.read(run, kind, start)
            self.send_pieces(conn, run, kind, chunked, mode, start)
        finally:
            self.memory.release(run)
        if chunked:
            conn.sendall(b"0\r\n\r\n")
        return chunked

    def read(self, run, kind, made):
        self.memory.admit(run, kind.prompt + made)
        time.sleep((kind.prompt + made) * READ_S)

    def send_pieces(self, conn, run, kind, chunked, mode, start):
        form = ("id: %d\ndata: p%d\n\n" if kind.route in STREAMS else "%d p%d\n")
        n = start
        while n < kind.pieces:
            if not self.memory.grow(run):
                self.records.append("preempted", mode, kind.route, n)
                self.read(run, kind, n)
                if mode == "again" and kind.route in STREAMS:
                    n = 0
                continue
            n += 1
            data = (form % (n, n)).encode()
            conn.sendall(b"%x\r\n%s\r\n" % (len(data), data) if chunked else data)
            time.sleep(kind.pause_s)


class Place:
    """Where the processes of a target follow each other."""

    def __init__(self, fleet, number, records):
        self.fleet, self.number, self.records = fleet, number, records
        self.lives, self.process = 0, None

    def start(self):
        self.lives += 1
        fleet = self.fleet
        settings = ProcessSettings(
            fleet.port, fleet.shift, fleet.members, self.records.folder,
            "app-p%d-%d" % (self.number, self.lives),
            "127.1.0.%d" % (1 + self.number), "dc%d" % (self.number % 3))
        self.process = subprocess.Popen([
            sys.executable, os.path.abspath(__file__), "--target",
            json.dumps(settings)])

    def end(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()


class Load:
    def __init__(self, fleet, options):
        self.fleet, self.options = fleet, options
        self.stopped, self.lock = threading.Event(), threading.Lock()
        self.broken, self.seen = [], collections.Counter()

    def call_again_and_again(self, caller):
        rng, n = random.Random("%s %d" % (caller, self.options.seed)), 0
        while not self.stopped.is_set():
            n += 1
            name = rng.choice(sorted(KINDS))
            behavior = "%s-%s-%s" % (name, rng.choice(("chunked", "close")),
                                     rng.choice(self.options.modes))
            self.request("%s-%d" % (caller, n), KINDS[name], behavior, rng)

    def request(self, name, kind, behavior, rng):
        """Takes a resumable stream up, and repeats a safe request."""
        numbers, first = [], None
        for n in range(TRIES.get(kind.route, 1)):
            attempt = "%s-%d" % (name, n)
            if kind.route not in STREAMS:
                numbers = []
            more = {"Last-Event-Id": str(numbers[-1]),
                    "Resumes": first} if numbers else {}
            body, whole = self.ask(kind, attempt, behavior, more, rng)
            first = first or (attempt if body else None)
            found = (EVENT if kind.route in STREAMS else LINE).findall(body)
            numbers += [int(number) for number, _ in found]
            self.judge(attempt, kind, behavior, numbers, whole)
            if whole or self.stopped.is_set():
                return
            time.sleep(0.02)

    def judge(self, attempt, kind, behavior, numbers, whole):
        with self.lock:
            self.seen["%s %s" % (behavior.split("-")[2],
                                 "whole" if whole else "broken off")] += 1
            if (numbers != list(range(1, len(numbers) + 1))
                    or (whole and len(numbers) != kind.pieces)):
                self.broken.append((attempt, behavior, whole, numbers))

    def ask(self, kind, attempt, behavior, more, rng):
        conn = http.client.HTTPConnection(
            "127.0.0.%d" % rng.choice(self.fleet.relays), self.fleet.port + 2,
            timeout=5)
        body, status, whole = b"", 0, False
        try:
            conn.request("POST", "/%s/x" % kind.route, attempt, {
                "Host": "h.example", "X-Quetzalgate-Attempt-Id": attempt,
                "X-Quetzalgate-Deadline-Ms": "3900", "X-Quetzalgate-Key": KEY,
                BEHAVIOR_HEADER: behavior, **more})
            answer = conn.getresponse()
            status = answer.status
            while data := answer.read1(65536):
                body += data
            whole = status == 200 and not answer.length
        except (OSError, http.client.HTTPException):
            pass
        finally:
            conn.close()
        return body if status == 200 else b"", whole


def run_load(options):
    def check_preempted(fleet):
        for target in fleet.targets:
            target.stop()
        records = Records(os.path.join(fleet.dir, "records"))
        rng, load = random.Random(options.seed), Load(fleet, options)
        places = [Place(fleet, n, records) for n in range(TARGETS)]
        try:
            for place in places:
                place.start()
            time.sleep(2.5)  # the former targets are gone
            callers = [threading.Thread(target=load.call_again_and_again,
                                        args=("c%d" % n,)) for n in range(CALLERS)]
            for caller in callers:
                caller.start()
            end = time.time() + options.seconds
            while time.time() < end - KILL_EACH_S:
                time.sleep(KILL_EACH_S)
                place = rng.choice(places)
                place.end()
                time.sleep(RESTART_S)
                place.start()
            time.sleep(max(0, end - time.time()))
            load.stopped.set()
            for caller in callers:
                caller.join()
        finally:
            load.stopped.set()
            for place in places:
                place.end()
        preempted = collections.Counter(
            mode for mode, *_ in records.read("preempted"))
        print("seed %d: %s, preempted %s" % (
            options.seed, dict(sorted(load.seen.items())), dict(preempted)))
        assert not load.broken, "%d answers: %s" % (len(load.broken),
                                                    load.broken[:3])
        for mode in options.modes:
            assert load.seen[mode + " whole"] >= MIN_WHOLE, "few whole answers"
            assert preempted[mode] >= MIN_PREEMPTED, "few preempted requests"

    run_checks(options.build, [check_preempted], retry_extra=4000)


def run_target(text):
    settings = ProcessSettings(*json.loads(text))
    PreemptingTarget.records = Records(settings.records)
    PreemptingTarget(FleetOfTarget(settings), 0, "app", settings.dc,
                     names=(settings.id, settings.host))
    threading.Event().wait()


if __name__ == "__main__":
    if sys.argv[1] == "--target":
        run_target(sys.argv[2])
    else:
        parser = argparse.ArgumentParser()
        parser.add_argument("build")
        parser.add_argument("--modes", nargs="+", choices=MODES, default=MODES)
        parser.add_argument("--seed", type=int, default=time.time_ns() % 10**6)
        parser.add_argument("--seconds", type=float, default=8)
        run_load(parser.parse_args())
