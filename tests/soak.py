"""Runs a fleet of real processes under random faults from a seed. Callers, an
operator and targets check the guarantees of the fleet while it runs.

    python3 tests/soak.py BUILD [--seed N] [--seconds S] [--relays N]

Exits with 0 if no guarantee was violated. Prints the seed first, so that a
failed run can be repeated: the faults are then the same, but as the processes
run in real time, their times differ by milliseconds.

Not covered: faults of disks and clocks, which the unit tests Store.* and Cons.*
inject through the file and clock interfaces; and network partitions between
the processes of the fleet, for which processes are stopped instead."""
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

KEY_LEASE_S = 5.0      # as fleet.relay() sets it
CONFIG_S = 2.0         # for a change to reach all relays, without faults
CALLERS = 10
EVENTS = ["id: %d\ndata: p%d\n\n" % (n, n) for n in range(1, 7)]
REPEATS = ("ids-1.2.3.3.4.5.6", "burst-1.2.1.2.3.4.5.6", "ids-1.2.3.4.5.6.6")


class Proxy:
    """A TCP proxy in front of a target. Its mode is "pass" or a fault: delay,
    reset, cut-in and cut-out (drop the bytes to or from the target), silent
    (drop both)."""
    MODES = ("delay", "reset", "cut-in", "cut-out", "silent")

    def __init__(self, host, target):
        self.mode, self.target = "pass", target
        self.address = (host, target.port + 1)
        self.socket = socket.create_server(self.address, backlog=256)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                client, _ = self.socket.accept()
                server = socket.create_connection(
                    (self.target.host, self.target.port), timeout=2)
                server.settimeout(None)
            except OSError:
                if self.socket.fileno() < 0:
                    return
                client.close()
                continue
            for pair in ((client, server, "cut-in"),
                         (server, client, "cut-out")):
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
        self.violations, self.answers_by_status = [], collections.Counter()
        self.refused = []  # attempts answered with "not run"
        self.key_removed_at = None  # when the removal of k-old was acknowledged
        self.acked_version = 0  # newest acknowledged manifest version
        self.stop = threading.Event()
        self.active_faults = {}  # by name of the process or proxy
        self.lock = threading.Lock()

    def fail(self, what):
        print("VIOLATED:", what, flush=True)
        self.violations.append(what)

    # Start of the fleet.

    def start_fleet(self):
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
        """Sends requests until the end. Connects to a random relay when the
        connection has failed, and at random before 2 % of the requests."""
        rng = random.Random(seed)
        relay = self.relays[number % len(self.relays)]
        conn, n = None, 0
        while not self.stop.is_set():
            n += 1
            if conn is None or rng.random() < 0.02:
                relay = rng.choice(self.relays)
                conn = http.client.HTTPConnection(
                    "127.0.0.%d" % relay, self.fleet.port + 2, timeout=9)
            if not self.send_request(conn, rng, "s%d-%d" % (number, n)):
                conn.close()
                conn = None
            time.sleep(rng.random() * 0.03)

    def send_request(self, conn, rng, attempt):
        """Sends one request; returns whether the connection can be reused."""
        kind = rng.choice(("safe", "unsafe", "streaming", "resume"))
        attempt += "-" + kind
        streams = kind in ("streaming", "resume")
        behaviour = rng.choice(
            ("stream",) * 4 + ("break", "full") + REPEATS if streams else
            ("ok",) * 5 + ("reset-once", "reset", "full", "slow", "extra",
                           "short", "noseal", "error"))
        key = rng.choice((KEY, KEY, KEY, "k-old"))
        began = time.time()
        status, body, reusable = self.ask(conn, rng, kind, {
            "X-Quetzalgate-Attempt-Id": attempt, BEHAVIOR_HEADER: behaviour,
            "X-Quetzalgate-Key": key})
        self.check_answer(attempt, kind, key, began, status, body)
        if status == -200 and kind == "resume":
            self.take_up(rng, attempt, body)
        return reusable

    def take_up(self, rng, first, body):
        """Asks any relay to go on after the last event of a broken stream."""
        last = body.count("\n\n")
        attempt = first + "-again"
        behaviour = rng.choice(("stream", "stream", "ids-1.2.3.4.5.6",
                                "ids-%d.%d.9" % (max(last, 1), last + 1)))
        conn = http.client.HTTPConnection(
            "127.0.0.%d" % rng.choice(self.relays), self.fleet.port + 2,
            timeout=9)
        status, body, _ = self.ask(conn, rng, "resume", {
            "X-Quetzalgate-Attempt-Id": attempt, BEHAVIOR_HEADER: behaviour,
            "X-Quetzalgate-Key": KEY, "Resumes": first,
            **({"Last-Event-Id": str(last)} if last else {})})
        conn.close()
        self.check_answer(attempt, "resume", KEY, 0, status, body, last)

    def ask(self, conn, rng, kind, headers):
        """(status, body, whether the connection can be reused); the status of
        an answer that breaks off is negative."""
        status, body, reusable = 0, b"", False
        try:
            conn.request("POST", "/%s/x" % kind, "x" * rng.randrange(3000), {
                "Host": "h.example", "X-Quetzalgate-Deadline-Ms": "3000",
                **headers})
            answer = conn.getresponse()
            status = answer.status
            body = answer.read()
            reusable = not answer.will_close
        except (OSError, http.client.HTTPException) as error:
            body = getattr(error, "partial", b"") or b""
            status = -status
        self.answers_by_status[status] += 1
        return status, body.decode(), reusable

    def check_answer(self, attempt, kind, key, began, status, body, last=0):
        streams = kind in ("streaming", "resume")
        expected = ("".join(EVENTS[last:]) if streams else
                    "answer to " + attempt)
        if status == 200 and body != expected:
            self.fail("%s (%s): status 200 with wrong body %r"
                      % (attempt, kind, body[:80]))
        if status == -200 and not expected.startswith(body):
            self.fail("%s (%s): wrong data before the break: %r"
                      % (attempt, kind, body[:80]))
        if status in (408, 421, 429, 503):
            self.refused.append(attempt)
        if status == 200 and key == "k-old" \
                and self.key_removed_at is not None \
                and began > self.key_removed_at + KEY_LEASE_S + CONFIG_S:
            self.fail("%s: served with a key removed %.1f s before"
                      % (attempt, began - self.key_removed_at))

    def check_runs(self):
        """Checks that can only be made when all requests have ended."""
        for attempt in self.refused:
            if attempt in Target.runs:
                self.fail("%s: refused as not run, but ran" % attempt)
        for attempt, runs in list(Target.runs.items()):
            if attempt.endswith("unsafe") and len(runs) > 1:
                self.fail("%s: unsafe request ran %d times"
                          % (attempt, len(runs)))

    # The operator.

    def operator(self):
        """Replaces the manifest twice a second and records the newest version
        that was acknowledged. The first three manifests have the key k-old,
        later ones don't."""
        fleet, n = self.fleet, 0
        while not self.stop.is_set():
            n += 1
            remove_key = n >= 4
            tenants = [{"name": "one",
                        "api_keys": [KEY] if remove_key else [KEY, "k-old"]}]
            text = fleet.manifest(tenants=tenants)
            version = json.loads(text)["version"]
            answer = fleet.control_request("POST", "/configuration/replace",
                                           text)
            if answer is not None and answer[0] == 200:
                self.acked_version = max(self.acked_version, version)
                if remove_key and self.key_removed_at is None:
                    self.key_removed_at = time.time()
            self.stop.wait(0.5)

    def check_config(self):
        found = []

        def fetched():
            answer = self.fleet.control_request("GET", "/configuration/fetch")
            found[:] = [json.loads(answer[1])["version"]
                        if answer and answer[0] == 200 else None]
            return found[0] is not None

        wait_for("the manifest can be fetched", fetched, 20)
        if found[0] < self.acked_version:
            self.fail("version %d was acknowledged, but version %d was fetched"
                      % (self.acked_version, found[0]))

    # Faults.

    def reserve(self, kind, name):
        """Reserves a process or proxy for a fault. Each process or proxy has at
        most one fault at a time. The control members together also have at
        most one fault at a time, which affects one member or all members.
        Returns whether the fault may start."""
        # Proxies and targets are named by number, control members by address;
        # "control" is all members.
        with self.lock:
            control = {n for n in self.active_faults if str(n).startswith("127")
                       or n == "control"}
            if name in self.active_faults or (
                    control and str(name)[:1] in "1c"
                    and not isinstance(name, int)):
                return False
            self.active_faults[name] = kind
            return True

    def inject_fault(self, kind, name, seconds, mode):
        """Injects a fault and ends it after the given time."""
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
                self.fail("%s exited with %d after SIGTERM" % (name, code))
            time.sleep(seconds)
            self.restart(name)
        elif kind == "kill-control":
            for n in (2, 3, 4):
                fleet.kill("127.0.0.%d" % n)
            time.sleep(seconds)
            for n in (2, 3, 4):
                self.restart("127.0.0.%d" % n)
        with self.lock:
            del self.active_faults[name]

    def restart(self, name):
        if name.startswith("relay-"):
            n = int(name[6:])
            self.fleet.relay(n, "dc%d" % (n % 3))
        else:
            self.fleet.control(int(name.split(".")[-1]), "yes")

    def random_fault(self):
        rng = self.random
        kind = rng.choice(("proxy",) * 4 + ("target", "stop", "stop", "kill",
                                            "kill", "term", "term",
                                            "kill-control"))
        seconds, mode = 0.2 + rng.random() * 2.5, rng.choice(Proxy.MODES)
        relay = "relay-%d" % rng.choice(self.relays)
        if kind in ("proxy", "target"):
            name = rng.randrange(4)
        elif kind == "kill-control":
            name = "control"
        elif kind != "term" and rng.random() < 0.4:
            name = "127.0.0.%d" % rng.choice((2, 3, 4))
        else:
            name = relay
        return kind, name, seconds, mode

    def inject_faults(self):
        end, threads = time.time() + self.seconds, []
        while time.time() < end:
            kind, name, seconds, mode = self.random_fault()
            time.sleep(self.random.random() * 0.8)
            if not self.reserve(kind, name):
                continue
            print("%6.2f %s %s %.1f s %s" % (
                self.seconds - end + time.time(), kind, name, seconds,
                mode if kind == "proxy" else ""), flush=True)
            threads.append(threading.Thread(
                target=self.inject_fault, args=(kind, name, seconds, mode)))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def check_recovery(self):
        """Checks that every relay serves again after the faults."""
        for n in self.relays:
            wait_for("relay %d is ready after the faults" % n,
                     lambda: self.fleet.ready(n), 20)
            wait_for("relay %d serves after the faults" % n,
                     lambda: all(self.fleet.call(
                         "safe", attempt="recovered%d-%d" % (n, i),
                         relay=n)[0] == 200 for i in range(5)), 20)

    def check_logs(self):
        for path in glob.glob(self.fleet.dir + "/*.log"):
            for line in open(path, errors="replace"):
                if re.search(r"INVARIANT|Sanitizer|CRITICAL|\"name\":\"INV_",
                             line):
                    self.fail("%s: %s" % (path.split("/")[-1], line[:200]))

    def run(self):
        try:
            self.start_fleet()
            threads = [threading.Thread(target=self.operator)] + [
                threading.Thread(target=self.caller,
                                 args=(n, self.random.random()))
                for n in range(CALLERS)]
            for thread in threads:
                thread.start()
            self.inject_faults()
            self.check_recovery()
            self.stop.set()
            for thread in threads:
                thread.join()
            time.sleep(0.5)
            self.check_runs()
            self.check_config()
            self.check_logs()
        except AssertionError as error:
            self.fail(str(error))
        finally:
            self.stop.set()
            self.fleet.stop_all()
        print("requests by status:",
              dict(sorted(self.answers_by_status.items())))
        print("logs:", self.fleet.dir if self.violations else "-")
        return 1 if self.violations else 0


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
