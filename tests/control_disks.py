"""What control acknowledged (manifests, drains of a data centre) survives the loss of
disks, and is read older nowhere, while operators change it.

usage: control_disks.py BUILD-FOLDER [SEED [ROUNDS]]
"""
import http.client
import json
import random
import shutil
import signal
import sys
import threading
import time

from relay_fleet import Target, run_checks, wait_for

SEED = int(sys.argv[2]) if len(sys.argv) > 2 else 45
ROUNDS = int(sys.argv[3]) if len(sys.argv) > 3 else 2
# Time limits of the platform, in seconds.
RECOVER_S, CATCH_UP_S, EVACUATE_S, APPLY_S = 12, 4, 5, 2.5
STOP_S = 1.5  # of a process that stands still
SPARES = (7, 8, 9, 10, 11, 12, 13, 14)  # addresses of new members
DCS = ("dc1", "dc2")


class State:
    """What control acknowledged, and what it answered to readers."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.members = list(fleet.members)
        self.spares = [n for n in SPARES if n not in self.members]
        self.version = fleet.version  # the newest acknowledged
        self.told = {dc: None for dc in DCS}  # drain, as last acknowledged
        self.unclear = set()  # data centres with a change without an answer
        self.drained_since = {}
        self.acknowledged = threading.Event()
        self.acknowledger = None  # the member that acknowledged last
        self.acknowledgements = self.reads = 0
        self.older = []
        self.stopped = threading.Event()
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=run, daemon=True) for run in (
            self.put_manifests, self.put_manifests, self.drain, self.read)]
        for thread in self.threads:
            thread.start()

    def post(self, path, text=None):
        """The member that acknowledged an order, or None."""
        for n in list(self.members):
            try:
                conn = http.client.HTTPConnection(
                    "127.0.0.%d" % n, self.fleet.port + 1, timeout=1)
                conn.request("POST", path, text)
                status = conn.getresponse().status
                conn.close()
            except (OSError, http.client.HTTPException):
                continue
            assert status in (200, 307) or status >= 500, (path, status)
            if status == 200:
                return n
        return None

    def note(self, member):
        self.acknowledger = member
        self.acknowledgements += 1
        self.acknowledged.set()

    def put_manifests(self):
        while not self.stopped.is_set():
            with self.lock:
                text = self.fleet.manifest()
                version = self.fleet.version
            while not self.stopped.is_set():
                member = self.post("/configuration/replace", text)
                if member is not None:
                    self.version = max(self.version, version)
                    self.note(member)
                    break
                time.sleep(0.02)

    def drain(self):
        rng = random.Random(SEED)
        while not self.stopped.is_set():
            dc = rng.choice(DCS)
            drained = rng.random() < 0.6
            self.unclear.add(dc)
            self.drained_since.pop(dc, None)
            while not self.stopped.is_set():
                member = self.post("/drain/%s/%s" % (
                    dc, "begin" if drained else "finish"))
                if member is not None:
                    self.told[dc] = drained
                    self.unclear.discard(dc)
                    if drained:
                        self.drained_since[dc] = time.time()
                    self.note(member)
                    break
                time.sleep(0.02)
            time.sleep(rng.uniform(0, 0.3))

    def read(self):
        while not self.stopped.is_set():
            for n in list(self.members):
                version, sent = self.version, time.time()
                read = self.read_at(n)
                if read is not None:
                    self.reads += 1
                    if read < version:
                        self.older.append((n, read, version, sent))
            time.sleep(0.01)

    def read_at(self, n):
        """The version that a member has answered, or None."""
        try:
            conn = http.client.HTTPConnection("127.0.0.%d" % n,
                                              self.fleet.port + 1, timeout=1)
            conn.request("GET", "/configuration/fetch")
            answer = conn.getresponse()
            text = answer.read()
            conn.close()
            return json.loads(text)["version"] if answer.status == 200 else None
        except (OSError, http.client.HTTPException):
            return None

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


def name_of(n):
    return "127.0.0.%d" % n


def lose_folder(fleet, n):
    shutil.rmtree("%s/data-%s" % (fleet.dir, name_of(n)))


def kill_relays(fleet):
    for n in (5, 6):
        fleet.kill("relay-%d" % n)
    for n in (5, 6):
        fleet.relay(n)


def kill_all(fleet, state, lost):
    for n in state.members:
        fleet.processes[name_of(n)].kill()
    for n in state.members:
        fleet.processes[name_of(n)].wait()
    if lost is not None:
        lose_folder(fleet, lost)
    kill_relays(fleet)
    for n in state.members:
        fleet.control(n)


def lose_disk(fleet, state, n):
    fleet.kill(name_of(n))
    lose_folder(fleet, n)
    fleet.control(n)


def replace(fleet, state, n, others_killed=False):
    """Another VM with an empty disk at another address replaces a member."""
    fleet.kill(name_of(n))
    others = [m for m in state.members if m != n]
    if others_killed:
        for m in others:
            fleet.kill(name_of(m))
    new = state.spares.pop(0)
    state.members = fleet.members = others + [new]
    if others_killed:
        for m in others:
            fleet.control(m)
    fleet.control(new)
    lose_folder(fleet, n)
    state.spares.append(n)


FAULTS = {
    "all killed": lambda f, s, n: kill_all(f, s, None),
    "disk lost": lose_disk,
    "replaced": replace,
    "disk lost, all killed": kill_all,
    "replaced, all killed": lambda f, s, n: replace(f, s, n, True)}


def check_followed(fleet):
    """The relays have the newest manifest, whoever the members are now."""
    route = "after%d" % fleet.version
    manifest = json.loads(fleet.manifest())
    manifest["routes"].append(dict(manifest["routes"][0], name=route,
                                   path_prefix="/%s/" % route))
    fleet.put_manifest(json.dumps(manifest))
    for n in (5, 6):
        wait_for("relay %d serves a new route" % n, lambda: fleet.call(
            "safe", attempt="%s-%d" % (route, n), path="/%s/x" % route,
            relay=n)[0] == 200, APPLY_S)


def check_drained(fleet, state, fault):
    """The relays send nothing to a data centre whose drain was acknowledged."""
    for i in range(20):
        fleet.call("safe", attempt="d%d-%d" % (time.time_ns(), i),
                   relay=5 + i % 2)
    late = [(id, at - state.drained_since[t.dc])
            for t in fleet.targets if t.dc in state.drained_since
            for id, _, at in Target.arrivals[-20:] if id == t.id
            and at > state.drained_since[t.dc] + EVACUATE_S]
    assert not late, (fault, late)


def lose(fleet, faults, rounds, before_s=0):
    """Each fault right after an acknowledgement, the next one when the member that
    lost its disk has had its time to catch up."""
    rng = random.Random(SEED)
    state = State(fleet)
    slowest = 0
    try:
        for _ in range(rounds):
            for fault in faults:
                time.sleep(before_s)
                state.acknowledged.clear()
                assert state.acknowledged.wait(RECOVER_S), "none before " + fault
                victim = state.acknowledger
                if victim not in state.members or rng.random() < 0.3:
                    victim = rng.choice(state.members)
                FAULTS[fault](fleet, state, victim)
                version, back = state.version, time.time()
                state.acknowledged.clear()
                assert state.acknowledged.wait(RECOVER_S), (
                    "no change acknowledged %d s after: %s" % (RECOVER_S, fault))
                slowest = max(slowest, time.time() - back)
                assert not state.older, (fault, state.older)
                read = [state.read_at(n) for n in state.members]
                assert all(r is None or r >= version for r in read), (
                    fault, read, version)
                time.sleep(max(0, back + CATCH_UP_S - time.time()))
        state.stop()
        wait_for("the newest manifest is read", lambda: max(
            state.read_at(n) or 0 for n in state.members) >= state.version,
            RECOVER_S)
        time.sleep(EVACUATE_S)
        check_drained(fleet, state, faults)
    finally:
        state.stop()
    print("%d acknowledgements, %d reads, %d older; changes again after %.1f s "
          "at most" % (state.acknowledgements, state.reads, len(state.older),
                       slowest))
    for dc in DCS:
        wait_for("the drain is withdrawn",
                 lambda: state.post("/drain/%s/finish" % dc) is not None)
    check_followed(fleet)
    assert not state.older, state.older


def check_all_killed(fleet):
    lose(fleet, ["all killed"], ROUNDS)


def check_disk_lost(fleet):
    lose(fleet, ["disk lost"], ROUNDS)


def check_disk_lost_and_all_killed(fleet):
    lose(fleet, ["disk lost, all killed"], ROUNDS)


def check_replaced(fleet):
    lose(fleet, ["replaced"], ROUNDS)


def check_replaced_and_all_killed(fleet):
    lose(fleet, ["replaced, all killed"], ROUNDS)


def check_in_series(fleet):
    order = list(FAULTS) * ROUNDS
    random.Random(SEED).shuffle(order)
    lose(fleet, order, 1)


def check_replaced_beside_a_stop(fleet):
    """A replaced member is removed in time though the next leader stands still,
    so that the loss of another disk right behind costs nothing."""
    state = State(fleet)
    try:
        assert state.acknowledged.wait(RECOVER_S), "none before"
        victim, other = state.members[:2]
        replace(fleet, state, victim, others_killed=True)
        back = time.time()
        wait_for("a member leads", fleet.leader, RECOVER_S)
        stopped = name_of(fleet.leader())
        fleet.kill(stopped, signal.SIGSTOP)
        time.sleep(STOP_S)
        fleet.kill(stopped, signal.SIGCONT)
        time.sleep(max(0, back + CATCH_UP_S - time.time()))
        version = state.version
        kill_all(fleet, state, other)
        state.acknowledged.clear()
        assert state.acknowledged.wait(RECOVER_S), (
            "no change acknowledged %d s after the second loss" % RECOVER_S)
        assert state.version >= version and not state.older, state.older
    finally:
        state.stop()
    check_followed(fleet)


CHECKS = [check_replaced_beside_a_stop, check_all_killed, check_disk_lost, check_disk_lost_and_all_killed,
          check_replaced, check_replaced_and_all_killed, check_in_series]
run_checks(sys.argv[1], [check for check in CHECKS if not sys.argv[4:]
                         or check.__name__ in sys.argv[4:]])
