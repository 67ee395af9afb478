"""Callers of several relays take broken streams up at any of them, while targets,
relays and connections end in many ways, relays are cut off from control and from
each other, leaders end, and targets of further versions replace the others. No caller may get an event twice, out of
order or of another version than the first one, miss one, or see a proper end before
the last event.
usage: relay_stream_hunt.py BUILD CASE... [--seed N] [--seconds S] [--relays N]"""
import argparse
import collections
import http.client
import random
import re
import signal
import threading
import time

from fleet_cuts import CONTROL, cut, heal, silence
from peer_proxy import PeerProxy
from relay_fleet import BEHAVIOR_HEADER, KEY, Target, run_checks

N_EVENTS = 14
CALLERS = 10
MIN_WHOLE = 10  # a hunt with fewer shows nothing
TARGETS = 3  # of each version
RELEASE_S = 1  # until the targets of the second version start
ENDS = ("whole", "whole", "whole", "within", "between", "reset", "no-event",
        "no-head", "too-early")
PAUSES_S = (0, 0, 0.005, 0.02)  # before a caller takes its stream up
EVENT = re.compile(rb"id: (\d+)\ndata: p(\d+) (\S+) a*\n\n")


class HuntTarget(Target):
    """Answers as the header X-Do draws: how its run ends, the framing, and the
    size of an event."""
    ends, crashes_with, pad = ENDS, None, 0

    def answer_out_of_order(self, conn, seal, echo, behavior, start, first):
        if behavior != "hunt":
            return super().answer_out_of_order(conn, seal, echo, behavior, start,
                                               first)
        end = random.choice(self.ends)
        if end == "too-early" and start < 2:
            end = "within"
        chunked = end in ("within", "between", "reset") or random.random() < 0.5
        if end == "no-head":
            return False
        conn.sendall(("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n"
                      "%s\r\n" % (seal, "Transfer-Encoding: chunked\r\n"
                                  if chunked else "")).encode())
        if end == "no-event":
            return False
        stop = N_EVENTS if end == "whole" else random.randint(
            min(start, N_EVENTS - 1), N_EVENTS - 1)
        if end == "too-early":
            start, stop = start - 1, N_EVENTS  # repeats an event
        for n in range(start + 1, stop + 1):
            self.send_piece(conn, b"id: %d\ndata: p%d %s %s\n\n" % (
                n, n, self.version.encode(), b"a" * self.pad), chunked)
            time.sleep(0.015)
            if (self.crashes_with is not None and not self.stopped.is_set()
                    and random.random() < 0.01):
                self.crash(keep_id=self.crashes_with)
                return False
        if end == "within":
            self.send_piece(conn, b"id: %d\nda" % (stop + 1), chunked)
        if end in ("whole", "too-early") and chunked:
            conn.sendall(b"0\r\n\r\n")
        return chunked and end == "whole"

    def send_piece(self, conn, data, chunked):
        conn.sendall(b"%x\r\n%s\r\n" % (len(data), data) if chunked else data)


class Caller(threading.Thread):
    def __init__(self, hunt, name, is_slow):
        super().__init__(daemon=True)
        self.hunt, self.name_, self.is_slow = hunt, name, is_slow
        self.start()

    def run(self):
        n = 0
        while not self.hunt.stopped.is_set():
            n += 1
            self.stream("%s-%d" % (self.name_, n))

    def stream(self, name):
        events, first = [], None
        names = random.random() < 0.5  # the attempt that began its stream
        for attempt in range(8):
            last = events[-1][0] if events else 0
            again = {"Last-Event-Id": str(last)} if last else {}
            if last and names:
                again["Resumes"] = first
            body, whole, status = self.ask("%s-%d" % (name, attempt), name, again)
            if body and first is None:
                first = "%s-%d" % (name, attempt)
            found = EVENT.findall(body)
            self.hunt.seen["taken up"] += bool(again and found)
            events += [(int(i), int(p), v) for i, p, v in found]
            self.hunt.judge(name, events, whole and status == 200)
            self.hunt.seen["whole" if whole and status == 200 else
                           "status %d" % status] += 1
            if self.hunt.stopped.is_set() or (whole and status == 200):
                return
            time.sleep(random.choice(PAUSES_S))

    def ask(self, attempt, text, more):
        host = self.hunt.host()
        conn = http.client.HTTPConnection(host, self.hunt.fleet.port + 2,
                                          timeout=4)
        if self.hunt.old_callers and random.random() < 0.5:
            conn._http_vsn, conn._http_vsn_str = 10, "HTTP/1.0"
        body, status = b"", 0
        try:
            conn.request("POST", "/resume/x", text, {
                "Host": "h.example", "X-Quetzalgate-Attempt-Id": attempt,
                "X-Quetzalgate-Deadline-Ms": "3900", "X-Quetzalgate-Key": KEY,
                BEHAVIOR_HEADER: "hunt", **more})
            answer = conn.getresponse()
            status = answer.status
            while data := answer.read1(65536):
                body += data
                if self.is_slow:
                    time.sleep(0.1)
            whole = True
        except (OSError, http.client.HTTPException) as error:
            whole = False
            self.hunt.seen[type(error).__name__] += 1
        finally:
            conn.close()
        return body if status == 200 else b"", whole, status


class Hunt:
    def __init__(self, fleet, options):
        self.fleet, self.options = fleet, options
        self.stopped = threading.Event()
        self.broken, self.seen = [], collections.Counter()
        self.lock = threading.Lock()
        self.old_callers = "old" in options.cases
        self.proxies, self.disturbers = [], []

    def host(self):
        n = random.choice(self.fleet.relays)
        return "127.0.0.%d" % (n + (200 if self.proxies else 0))

    def judge(self, name, events, is_whole):
        ids = [event[0] for event in events]
        wrong = (ids != list(range(1, len(ids) + 1))
                 or any(i != p for i, p, _ in events)
                 or len({v for _, _, v in events}) > 1
                 or (is_whole and len(ids) != N_EVENTS))
        if wrong:
            with self.lock:
                self.broken.append((name, is_whole, events))

    def begin_faults(self):
        cases = self.options.cases
        HuntTarget.crashes_with = ({"crash": False, "return": True}.get(
            next((c for c in cases if c in ("crash", "return")), ""), None))
        HuntTarget.pad = 60000 if "slow" in cases else 0
        if "links" in cases:
            for n in self.fleet.relays:
                port = self.fleet.port + 2
                proxy = PeerProxy(("127.0.0.%d" % (n + 200), port),
                                  ("127.0.0.%d" % n, port))
                proxy.new_chunk, proxy.new_delay_s = 300, 0.003
                self.proxies.append(proxy)
        for case in ("relays", "links", "cuts", "releases"):
            if case in cases:
                thread = threading.Thread(
                    target=getattr(self, "disturb_" + case), daemon=True)
                thread.start()
                self.disturbers.append(thread)

    def disturb_relays(self):
        while not self.stopped.wait(random.uniform(0.3, 1.2)):
            n = random.choice(self.fleet.relays)
            process = self.fleet.processes["relay-%d" % n]
            how = random.choice(("kill", "pause", "hangup", "end"))
            if how == "pause":
                process.send_signal(signal.SIGSTOP)
                time.sleep(random.uniform(0.1, 1))
                process.send_signal(signal.SIGCONT)
            elif how == "hangup":
                process.send_signal(signal.SIGHUP)
            else:
                process.send_signal(signal.SIGKILL if how == "kill"
                                    else signal.SIGTERM)
                process.wait()
                self.fleet.relay(n)
            self.seen[how] += 1

    def disturb_cuts(self):
        fleet = self.fleet
        while not self.stopped.wait(random.uniform(0.1, 1)):
            n = random.choice(fleet.relays)
            relays = tuple(m for m in fleet.relays if m != n)
            others = random.choice((CONTROL, CONTROL + relays, relays))
            how = random.choice(("cut", "cut", "silent", "in", "out", "leader"))
            if how == "cut":
                cut(fleet, n, *others)
                time.sleep(random.uniform(0.2, 3))
                heal(fleet)
            elif how == "leader":
                self.end_leader()
            else:
                silence(fleet, (n,), others, how if how != "silent" else None)
            self.seen["cut: " + how] += 1

    def end_leader(self):
        leader = self.fleet.leader()
        if leader is not None:
            self.fleet.kill("127.0.0.%d" % leader)
            time.sleep(random.uniform(0, 1))
            self.fleet.control(leader)

    def disturb_releases(self):
        """Targets of the next version start, and those of the oldest end with or
        without a word."""
        for n in range(3, 15):
            if self.stopped.wait(random.uniform(1, 3)):
                return
            start_targets(self.fleet, "v%d" % n)
            self.stopped.wait(random.uniform(0, 1))
            says_so = random.random() < 0.5
            for target in self.fleet.targets:
                if target.version == "v%d" % (n - 2):
                    if says_so:
                        target.post("deregister")
                    target.stop()
            self.seen["release"] += 1

    def disturb_links(self):
        while not self.stopped.wait(0.2):
            proxy = random.choice(self.proxies)
            for connection in proxy.open_connections():
                if random.random() < 0.2:
                    connection.disturb(random.choice(("reset", "silent",
                                                      "cut-out", "delay")))
                    self.seen["link"] += 1


def start_targets(fleet, version):
    for n in range(TARGETS):
        fleet.targets.append(HuntTarget(
            fleet, 10 + TARGETS * int(version[1:]) + n, "app", "dc0",
            version=version))


def run_hunt(options):
    def check_hunt(fleet):
        for target in fleet.targets:
            target.stop()
        fleet.targets = []
        start_targets(fleet, "v1")
        time.sleep(2.5)  # the former targets are gone
        random.seed(options.seed)
        hunt = Hunt(fleet, options)
        hunt.begin_faults()
        callers = [Caller(hunt, "c%d" % n, "slow" in options.cases and n % 2)
                   for n in range(CALLERS)]
        time.sleep(RELEASE_S)
        start_targets(fleet, "v2")
        time.sleep(options.seconds)
        hunt.stopped.set()
        for thread in hunt.disturbers:  # may be about to start a process again
            thread.join()
        for caller in callers:
            caller.join(10)
        for n in fleet.relays:
            assert fleet.processes["relay-%d" % n].poll() is None, (
                "relay %d ended: %d, %s" % (
                    n, fleet.processes["relay-%d" % n].returncode, fleet.dir))
        print("seed %d, %s: %s" % (options.seed, " ".join(options.cases),
                                   dict(sorted(hunt.seen.items()))))
        assert not hunt.broken, "%d streams: %s" % (len(hunt.broken),
                                                    hunt.broken[:3])
        assert hunt.seen["whole"] >= MIN_WHOLE, "few whole streams"

    run_checks(options.build, [check_hunt], retry_extra=4000,
               relays=tuple(range(5, 5 + options.relays)),
               memory_mb=options.memory_mb, proxied="cuts" in options.cases)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("cases", nargs="*", choices=[
        "relays", "links", "cuts", "releases", "crash", "return", "slow", "old", "plain"])
    parser.add_argument("--seed", type=int, default=time.time_ns() % 10**6)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--relays", type=int, default=4)
    parser.add_argument("--memory-mb", type=int, default=None)
    arguments = parser.parse_args()
    # The proxy ends a connection in order after a reset, so that callers which
    # know no chunks can't tell a break behind it.
    if {"old", "links"} <= set(arguments.cases):
        parser.error("old and links do not go together")
    run_hunt(arguments)
