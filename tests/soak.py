"""A fleet of real processes under faults drawn from a seed, with callers, an
operator and targets that check the promises while it runs.

    python3 tests/soak.py BUILD [--seed N] [--seconds S] [--relays N]

Ends with 0 when no promise was broken; prints the seed first, so that a failed
run can be played again (processes run in real time: the faults are the same,
their moments within milliseconds are not).

Not drawn: faults of disks and of clocks, which the program meets through its
file and clock interfaces in Store.* and Cons.*; cuts between the processes of
the fleet, for which they are stopped instead."""
import argparse
import collections
import glob
import http.client
import json
import random
import re
import signal
import socket
import struct
import sys
import threading
import time

from relay_fleet import BEHAVIOR_HEADER, KEY, Fleet, Target, wait_for

KEY_LEASE_S = 5.0      # of fleet.relay()
CONFIG_S = 2.0         # a change is in force everywhere, without faults
CALLERS = 10
STREAM = "".join("id: %d\ndata: p%d\n\n" % (n, n) for n in range(1, 7))


class Proxy:
    """In front of a target: passes bytes on, or does to them what mode says:
    delay, reset, cut-in and cut-out (bytes of one way are lost), silent."""
    MODES = ("delay", "reset", "cut-in", "cut-out", "silent")

    def __init__(self, host, target):
        self.mode, self.target = "pass", target
        self.address = (host, target.port + 1)
        self.socket = socket.create_server(self.address, backlog=256)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                near, _ = self.socket.accept()
                far = socket.create_connection(
                    (self.target.host, self.target.port), timeout=2)
                far.settimeout(None)
            except OSError:
                if self.socket.fileno() < 0:
                    return
                near.close()
                continue
            for pair in ((near, far, "cut-in"), (far, near, "cut-out")):
                threading.Thread(target=self.copy, args=pair,
                                 daemon=True).start()

    def copy(self, source, sink, cut):
        try:
            while data := source.recv(65536):
                if self.mode == "delay":
                    time.sleep(0.15)
                if self.mode == "reset":
                    linger = struct.pack("ii", 1, 0)
                    for end in (source, sink):
                        end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                       linger)
                    break
                if self.mode not in (cut, "silent"):
                    sink.sendall(data)
        except OSError:
            pass
        finally:
            for end in (source, sink):
                try:
                    end.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
                end.close()


class Soak:
    def __init__(self, build, seed, seconds, n_relays):
        self.random = random.Random(seed)
        self.fleet = Fleet(build)
        self.seconds = seconds
        self.relays = range(5, 5 + n_relays)
        self.broken, self.ends = [], collections.Counter()
        self.refused = []      # attempts that were said not to have run
        self.withdrawn = None  # when the old key was, acknowledged
        self.acked = 0         # newest acknowledged version
        self.stop = threading.Event()
        self.busy = {}         # names that a fault is at work on
        self.lock = threading.Lock()

    def breaks(self, what):
        print("BROKEN:", what, flush=True)
        self.broken.append(what)

    # The fleet.

    def up(self):
        fleet = self.fleet
        for n in (2, 3, 4):
            fleet.control(n, "yes")
        for n in self.relays:
            fleet.relay(n, "dc%d" % (n % 3))
        fleet.put_manifest(fleet.manifest())
        fleet.targets = [Target(fleet, n, "app", "dc%d" % (n % 3))
                         for n in range(4)]
        self.proxies = [Proxy("127.0.0.%d" % (200 + n), target)
                        for n, target in enumerate(fleet.targets)]
        for target, proxy in zip(fleet.targets, self.proxies):
            target.announced = proxy.address
        for n in self.relays:
            wait_for("relay %d is ready" % n, lambda: fleet.ready(n), 60)

    # Callers.

    def caller(self, number, seed):
        """Keeps its connection as long as it lasts, and one to the end."""
        draw = random.Random(seed)
        relay = self.relays[number % len(self.relays)]
        conn, n = None, 0
        while not self.stop.is_set():
            n += 1
            if conn is None or draw.random() < 0.02:
                relay = draw.choice(self.relays)
                conn = http.client.HTTPConnection(
                    "127.0.0.%d" % relay, self.fleet.port + 2, timeout=9)
            if not self.ask(conn, draw, "s%d-%d" % (number, n)):
                conn.close()
                conn = None
            time.sleep(draw.random() * 0.03)

    def ask(self, conn, draw, attempt):
        """One request; whether the connection may be used again."""
        kind = draw.choice(("safe", "unsafe", "streaming", "resume"))
        attempt += "-" + kind
        streams = kind in ("streaming", "resume")
        do = draw.choice(("stream",) * 4 + ("break", "full") if streams else
                         ("ok",) * 5 + ("reset-once", "reset", "full", "slow",
                                        "extra", "short", "noseal", "error"))
        key = draw.choice((KEY, KEY, KEY, "k-old"))
        began = time.time()
        status, body, keeps = 0, b"", False
        try:
            conn.request("POST", "/%s/x" % kind, "x" * draw.randrange(3000), {
                "Host": "h.example", "X-Quetzalgate-Attempt-Id": attempt,
                "X-Quetzalgate-Deadline-Ms": "3000", BEHAVIOR_HEADER: do,
                "X-Quetzalgate-Key": key})
            answer = conn.getresponse()
            status = answer.status
            body = answer.read()
            keeps = not answer.will_close
        except (OSError, http.client.HTTPException) as error:
            body = getattr(error, "partial", b"") or b""
            status = -status
        self.ends[status] += 1
        self.judge(attempt, kind, key, began, status, body.decode())
        return keeps

    def judge(self, attempt, kind, key, began, status, body):
        streams = kind in ("streaming", "resume")
        whole = STREAM if streams else "answer to " + attempt
        if status == 200 and body != whole:
            self.breaks("%s (%s): 200 with %r" % (attempt, kind, body[:80]))
        if status == -200 and not whole.startswith(body):
            self.breaks("%s (%s): cut, after %r" % (attempt, kind, body[:80]))
        if status in (408, 421, 429, 503):
            self.refused.append(attempt)
        if status == 200 and key == "k-old" and self.withdrawn is not None \
                and began > self.withdrawn + KEY_LEASE_S + CONFIG_S:
            self.breaks("%s: served with a key withdrawn %.1f s before"
                        % (attempt, began - self.withdrawn))

    def judge_runs(self):
        """What only shows once all have ended."""
        for attempt in self.refused:
            if attempt in Target.runs:
                self.breaks("%s: refused as not run, and ran" % attempt)
        for attempt, runs in list(Target.runs.items()):
            if attempt.endswith("unsafe") and len(runs) > 1:
                self.breaks("%s: unsafe, ran %d times" % (attempt, len(runs)))

    # The operator.

    def operator(self):
        """Changes all the time; what was acknowledged must stay."""
        fleet, n = self.fleet, 0
        while not self.stop.is_set():
            n += 1
            withdraw = n >= 4
            tenants = [{"name": "one",
                        "api_keys": [KEY] if withdraw else [KEY, "k-old"]}]
            text = fleet.manifest(tenants=tenants)
            version = json.loads(text)["version"]
            answer = fleet.control_request("POST", "/configuration/replace",
                                           text)
            if answer is not None and answer[0] == 200:
                self.acked = max(self.acked, version)
                if withdraw and self.withdrawn is None:
                    self.withdrawn = time.time()
            self.stop.wait(0.5)

    def judge_config(self):
        found = []

        def fetched():
            answer = self.fleet.control_request("GET", "/configuration/fetch")
            found[:] = [json.loads(answer[1])["version"]
                        if answer and answer[0] == 200 else None]
            return found[0] is not None

        wait_for("the manifest can be fetched", fetched, 20)
        if found[0] < self.acked:
            self.breaks("version %d was acknowledged, %d is there"
                        % (self.acked, found[0]))

    # Faults.

    def take(self, kind, name):
        """One fault at a time on a process or proxy; of the members of control
        one, or all."""
        with self.lock:
            control = {n for n in self.busy if str(n).startswith("127")
                       or n == "control"}
            if name in self.busy or (control and str(name)[:1] in "1c"
                                     and not isinstance(name, int)):
                return False
            self.busy[name] = kind
            return True

    def hit(self, kind, name, seconds, mode):
        """One fault, from its begin to its end."""
        fleet = self.fleet
        if kind == "proxy":
            self.proxies[name].mode = mode
            time.sleep(seconds)
            self.proxies[name].mode = "pass"
        elif kind == "target":
            fleet.targets[name].state = "draining"
            time.sleep(seconds)
            fleet.targets[name].state = "ready"
        elif kind == "stop":
            fleet.kill(name, signal.SIGSTOP)
            time.sleep(seconds)
            fleet.kill(name, signal.SIGCONT)
        elif kind in ("kill", "term"):
            fleet.kill(name, signal.SIGKILL if kind == "kill"
                       else signal.SIGTERM)
            code = fleet.processes[name].wait(timeout=20)
            if kind == "term" and code != 0:
                self.breaks("%s ended with %d after SIGTERM" % (name, code))
            time.sleep(seconds)
            self.restart(name)
        elif kind == "kill-control":
            for n in (2, 3, 4):
                fleet.kill("127.0.0.%d" % n)
            time.sleep(seconds)
            for n in (2, 3, 4):
                self.restart("127.0.0.%d" % n)
        with self.lock:
            del self.busy[name]

    def restart(self, name):
        if name.startswith("relay-"):
            n = int(name[6:])
            self.fleet.relay(n, "dc%d" % (n % 3))
        else:
            self.fleet.control(int(name.split(".")[-1]), "yes")

    def draw_fault(self):
        draw = self.random
        kind = draw.choice(("proxy",) * 4 + ("target", "stop", "stop", "kill",
                                             "kill", "term", "term",
                                             "kill-control"))
        seconds, mode = 0.2 + draw.random() * 2.5, draw.choice(Proxy.MODES)
        relay = "relay-%d" % draw.choice(self.relays)
        if kind in ("proxy", "target"):
            name = draw.randrange(4)
        elif kind == "kill-control":
            name = "control"
        elif kind != "term" and draw.random() < 0.4:
            name = "127.0.0.%d" % draw.choice((2, 3, 4))
        else:
            name = relay
        return kind, name, seconds, mode

    def faults(self):
        end, threads = time.time() + self.seconds, []
        while time.time() < end:
            kind, name, seconds, mode = self.draw_fault()
            time.sleep(self.random.random() * 0.8)
            if not self.take(kind, name):
                continue
            print("%6.2f %s %s %.1f s %s" % (
                self.seconds - end + time.time(), kind, name, seconds,
                mode if kind == "proxy" else ""), flush=True)
            threads.append(threading.Thread(
                target=self.hit, args=(kind, name, seconds, mode)))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def judge_calm(self):
        """After the faults every relay serves again."""
        for n in self.relays:
            wait_for("relay %d is ready after the faults" % n,
                     lambda: self.fleet.ready(n), 20)
            wait_for("relay %d serves after the faults" % n,
                     lambda: all(self.fleet.call(
                         "safe", attempt="calm%d-%d" % (n, i),
                         relay=n)[0] == 200 for i in range(5)), 20)

    def judge_logs(self):
        for path in glob.glob(self.fleet.dir + "/*.log"):
            for line in open(path, errors="replace"):
                if re.search(r"INVARIANT|Sanitizer|CRITICAL|\"name\":\"INV_",
                             line):
                    self.breaks("%s: %s" % (path.split("/")[-1], line[:200]))

    def run(self):
        try:
            self.up()
            threads = [threading.Thread(target=self.operator)] + [
                threading.Thread(target=self.caller,
                                 args=(n, self.random.random()))
                for n in range(CALLERS)]
            for thread in threads:
                thread.start()
            self.faults()
            self.judge_calm()
            self.stop.set()
            for thread in threads:
                thread.join()
            time.sleep(0.5)
            self.judge_runs()
            self.judge_config()
            self.judge_logs()
        except AssertionError as error:
            self.breaks(str(error))
        finally:
            self.stop.set()
            self.fleet.stop_all()
        print("requests by status:", dict(sorted(self.ends.items())))
        print("logs:", self.fleet.dir if self.broken else "-")
        return 1 if self.broken else 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("--seed", type=int, default=time.time_ns() % 10**9)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--relays", type=int, default=4)
    options = parser.parse_args()
    print("seed", options.seed, flush=True)
    sys.exit(Soak(options.build, options.seed, options.seconds,
                  options.relays).run())


if __name__ == "__main__":
    main()
