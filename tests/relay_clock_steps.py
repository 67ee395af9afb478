"""Numbers that must not go back while processes whose time of day steps are
killed and start again. usage: relay_clock_steps.py BUILD [SEED] [SECONDS]"""
import json
import os
import random
import sys
import threading
import time

from relay_fleet import KEY, Target, run_checks, wait_for

BUILD = os.path.abspath(sys.argv[1])
SEED = int(sys.argv[2]) if len(sys.argv) > 2 else 1
SECONDS = float(sys.argv[3]) if len(sys.argv) > 3 else 6
HOUR = 3600
STEPS = (-48 * HOUR, -2 * HOUR, -HOUR, 0, HOUR, 2 * HOUR, 48 * HOUR)
REVOKE_S = 5


def restart(fleet, name, seconds):
    """Starts a process again with a time of day that is off by @seconds."""
    path = os.path.join(fleet.dir, name + ".step")
    with open(path, "w") as out:
        out.write("%d" % seconds)
    fleet.kill(name)
    os.environ["LD_PRELOAD"] = os.path.join(BUILD, "step_clock.so")
    os.environ["STEP_CLOCK_FILE"] = path
    if name.startswith("relay-"):
        fleet.relay(int(name[6:]))
    else:
        fleet.control(int(name.split(".")[-1]))
    del os.environ["LD_PRELOAD"]


class Operators:
    """Two operators send versions that rise by uneven steps. A version holds a
    route /vN/ for each version N up to it, so that a relay shows what it has."""

    def __init__(self, fleet, rng):
        self.fleet, self.rng, self.lock = fleet, rng, threading.Lock()
        self.sent, self.accepted = {}, set()  # version to text; versions
        self.keys_gone = None  # version from which k-old is withdrawn
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self.run, daemon=True)
                        for _ in range(2)]

    def make(self):
        with self.lock:
            self.fleet.version += self.rng.choice((0, 1, 5, 40))
            whole = json.loads(self.fleet.manifest())
            version = whole["version"]
            base = whole["routes"][0]
            for n in [*self.sent, version]:
                whole["routes"].append(dict(base, name="v%d" % n,
                                            path_prefix="/v%d/" % n))
            if self.keys_gone is not None:
                whole["tenants"] = [{"name": "one", "api_keys": [KEY]}]
            self.sent[version] = json.dumps(whole)
            return version

    def put(self, version):
        """Sends a version until it is answered; False if stopped before."""
        while not self.stopped.is_set():
            answer = self.fleet.control_request(
                "POST", "/configuration/replace", self.sent[version])
            if answer is not None:
                assert answer[0] == 200, (version, answer)
                with self.lock:
                    self.accepted.add(version)
                return True
            time.sleep(0.05)
        return False

    def run(self):
        while not self.stopped.is_set():
            self.put(self.make())
            if self.rng.random() < 0.5:
                self.put(self.rng.choice(list(self.sent)))  # again, or an old one
            time.sleep(self.rng.random() * 0.3)

    def newest(self):
        """The newest version that was accepted."""
        with self.lock:
            return max(self.accepted, default=0)


class Readers:
    """Read the manifest at each control member, and what each relay has."""

    def __init__(self, fleet, operators):
        self.fleet, self.operators = fleet, operators
        self.lock, self.stopped = threading.Lock(), threading.Event()
        self.read, self.seen = 0, {5: 0, 6: 0}  # newest version so far
        self.counts = {"reads": 0, "probes": 0}
        self.faults = []
        self.threads = [
            threading.Thread(target=self.loop, args=(f, n), daemon=True)
            for f, members in ((self.read_back, (2, 3, 4)),
                               (self.probe, (5, 6))) for n in members]

    def loop(self, step, n):
        while not self.stopped.is_set():
            step(n)
            time.sleep(0.02)

    def read_back(self, n):
        with self.lock:
            least = max(self.read, self.operators.newest())
        answer = self.fleet.control_request("GET", "/configuration/fetch",
                                            members=(n,))
        if answer is None or answer[0] != 200:
            return
        version = json.loads(answer[1])["version"]
        with self.lock:
            self.counts["reads"] += 1
            self.read = max(self.read, version)
        if version < least:
            self.faults.append("member %d read back %d after %d"
                               % (n, version, least))

    def probe(self, n):
        """Whether a relay has what it had before; also over its restarts."""
        with self.operators.lock:
            newer = [v for v in self.operators.sent if v > self.seen[n]]
        for version in [self.seen[n], *newer[-2:]]:
            status = self.fleet.call("safe", relay=n, timeout_ms=800,
                                     path="/v%d/x" % version)[0]
            self.counts["probes"] += status != 0
            if status == 200:
                self.seen[n] = max(self.seen[n], version)
            elif status == 404 and version == self.seen[n] and version:
                self.faults.append("relay %d had %d and lost it" % (n, version))


def check_versions(fleet):
    """The manifest that is read back and the one in force."""
    rng = random.Random(SEED)
    operators = Operators(fleet, rng)
    readers = Readers(fleet, operators)
    for thread in operators.threads + readers.threads:
        thread.start()
    end, n = time.time() + SECONDS, 0
    names = ["relay-5", "127.0.0.2", "relay-6", "127.0.0.3", "127.0.0.4"]
    while time.time() < end:
        time.sleep(0.5 + rng.random())
        restart(fleet, names[n % 5], STEPS[rng.randrange(len(STEPS))])
        n += 1
        if time.time() > end - SECONDS / 2:
            operators.keys_gone = operators.keys_gone or fleet.version
    time.sleep(1)
    operators.stopped.set()
    for thread in operators.threads:
        thread.join()
    operators.stopped.clear()
    wait_for("the last version is accepted",
             lambda: operators.put(operators.make()))
    last = fleet.version
    for relay in (5, 6):
        wait_for("relay %d serves the last version" % relay, lambda: fleet.call(
            "safe", relay=relay, path="/v%d/x" % last)[0] == 200, 20)
    time.sleep(1)
    readers.stopped.set()
    for thread in readers.threads:
        thread.join()
    assert readers.read == last, (readers.read, last)
    for relay in (5, 6):
        wait_for("the key stays withdrawn", lambda: fleet.call(
            "safe", relay=relay, key="k-old")[0] == 401, REVOKE_S)
    print("%d restarts, %d versions sent, %d accepted, %s, %d faults" % (
        n, len(operators.sent), len(operators.accepted), readers.counts,
        len(readers.faults)))
    assert not readers.faults, readers.faults[:10]
    assert readers.counts["reads"] > 50 and readers.counts["probes"] > 50


class Ghost(Target):
    """What is left at the address of an earlier life of a target."""
    requests = 0

    def answer(self, conn, fields, body):
        Ghost.requests += 1
        return super().answer(conn, fields, body)


def check_earlier_lives(fleet):
    """Heartbeats of an earlier life of a target arrive late while control
    elects: no relay sends to the earlier life."""
    whole = json.loads(fleet.manifest())
    whole["routes"].append(dict(whole["routes"][0], name="moves",
                                path_prefix="/moves/", backend="moves"))
    whole["backends"].append(dict(whole["backends"][0], name="moves"))
    fleet.put_manifest(json.dumps(whole))

    def call(n):
        return fleet.call("safe", attempt="moves%d" % n, relay=5 + n % 2,
                          path="/moves/x")[0]

    old = Ghost(fleet, 0, "moves", "dc0", names=("moves", "127.0.0.70"))
    wait_for("the first life serves", lambda: call(0) == call(1) == 200)
    old.beats = False
    time.sleep(0.3)
    late = [old.statement() for _ in range(300)]
    new = Target(fleet, 0, "moves", "dc0", names=("moves", "127.0.0.71"))
    assert new.born > old.born

    def both_use_the_second():
        before = Ghost.requests
        return [call(n) for n in range(20)] == [200] * 20 \
            and Ghost.requests == before

    wait_for("the second life serves", both_use_the_second)
    stopped = threading.Event()

    def send_late():
        for path, text in late:
            if stopped.is_set():
                return
            fleet.control_request("POST", path + "heartbeat", text)
            time.sleep(0.02)

    threads = [threading.Thread(target=send_late, daemon=True) for _ in range(2)]
    for thread in threads:
        thread.start()
    answers, began = [], Ghost.requests
    for _ in range(2):
        leader = fleet.leader()
        if leader:
            restart(fleet, "127.0.0.%d" % leader, -HOUR)
        end = time.time() + 2
        while time.time() < end:
            answers.append(call(len(answers)))
    stopped.set()
    for thread in threads:
        thread.join()
    print("%d requests, %d served, %d sent to the earlier life" % (
        len(answers), answers.count(200), Ghost.requests - began))
    assert Ghost.requests == began
    assert answers.count(200) > len(answers) / 2
    wait_for("the second life serves", both_use_the_second)
    for target in (old, new):
        target.stop()


def check_all_serve(fleet):
    for relay in (5, 6):
        wait_for("relay %d serves" % relay, lambda: all(
            fleet.call("safe", relay=relay)[0] == 200 for _ in range(10)), 20)


run_checks(sys.argv[1], [check_versions, check_earlier_lives, check_all_serve])
