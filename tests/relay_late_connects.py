"""A target accepts no connections for a while, as its queue of new ones is full, and
says that it leaves. What waits for a connection to it does not reach it later."""
import json
import socket
import sys
import threading
import time

from relay_fleet import Target, run_checks, wait_for

DRAIN_S = 2.5  # time limit of the platform
WATCHED_S = 3
BODIES = (1, 20000, 90000)  # bytes
CALLERS = 12  # so that the target gets some of the requests


class FullTarget(Target):
    """Accepts connections only while @accepts is set."""

    def accept_connections(self):
        self.accepts = threading.Event()
        self.accepts.set()
        self.socket.listen(0)
        while not self.stopped.is_set():
            self.accepts.wait()
            try:
                conn, _ = self.socket.accept()
            except OSError:
                return
            self.connections.add(conn)
            threading.Thread(target=self.serve, args=(conn,),
                             daemon=True).start()

    def fill(self):
        """Fills the queue of new connections and ends the open ones."""
        self.accepts.clear()
        filling = [socket.socket() for _ in range(8)]
        for one in filling:
            one.setblocking(False)
            one.connect_ex((self.host, self.port))
        time.sleep(0.2)
        for conn in list(self.connections):
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        return filling


def wait_until_used(fleet, target):
    def is_used():
        """Sends so many requests at once that all targets get some."""
        threads = [threading.Thread(target=fleet.call, args=(
            "safe", "brief", "use%d-%d" % (time.time_ns(), i))) for i in range(20)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return any(id == target.id for id, _, _ in Target.arrivals[-20:])

    wait_for("the target is used", is_used)


def leave_while_full(fleet):
    fleet.targets[0].stop()
    target = fleet.targets[0] = FullTarget(fleet, 10, "app", "dc0")
    wait_until_used(fleet, target)
    filling = target.fill()
    threads = [threading.Thread(target=fleet.call, daemon=True, args=("safe",), kwargs={
        "behavior": "brief", "attempt": "late%d-%d" % (size, i),
        "body": "x" * size, "relay": 5 + i % 2, "timeout_ms": 8000})
        for size in BODIES for i in range(CALLERS)]
    for thread in threads:
        thread.start()
    time.sleep(0.1)
    target.state = "draining"
    wait_for("the leave is acknowledged",
             lambda: (target.post("heartbeat") or (0,))[0] == 200)
    told = time.time()
    time.sleep(DRAIN_S - 0.4)  # what the queue holds is read in time
    for one in filling:
        one.close()
    target.accepts.set()
    time.sleep(WATCHED_S)
    for thread in threads:
        thread.join()
    arrivals = [(at - told, attempt) for id, attempt, at in Target.arrivals
                if id == target.id and attempt.startswith("late")]
    late = [(at, attempt) for at, attempt in arrivals if at > DRAIN_S]
    assert not late, "%d requests %.1f to %.1f s after the leave: %s" % (
        len(late), min(late)[0], max(late)[0], late[:3])


def manifest_with_long_time_limits(fleet):
    manifest = json.loads(fleet.manifest())
    for route in manifest["routes"]:
        route["timeout_ms"] = 8000
    return json.dumps(manifest)


def check_leaves_while_its_queue_is_full(fleet):
    fleet.put_manifest(manifest_with_long_time_limits(fleet))
    time.sleep(0.5)
    leave_while_full(fleet)


class SmallTarget(Target):
    def statement(self, sequence=None, **change):
        return super().statement(sequence, slots=2, **change)


def check_leaves_while_requests_wait(fleet):
    """Requests that wait at the relays for a free target."""
    for n in range(3):
        fleet.targets[n].stop()
        fleet.targets[n] = SmallTarget(fleet, 20 + n, "app", "dc0")
    target = fleet.targets[0]
    wait_until_used(fleet, target)
    stopped = threading.Event()

    def call(n):
        i = 0
        while not stopped.is_set():
            i += 1
            fleet.call("safe", "slow", "wait%d-%d" % (n, i), relay=5 + n % 2,
                       timeout_ms=8000)

    threads = [threading.Thread(target=call, args=(n,), daemon=True)
               for n in range(30)]
    for thread in threads:
        thread.start()
    time.sleep(2)
    target.state = "draining"
    wait_for("the leave is acknowledged",
             lambda: (target.post("heartbeat") or (0,))[0] == 200)
    told = time.time()
    time.sleep(DRAIN_S + WATCHED_S)
    stopped.set()
    for thread in threads:
        thread.join()
    before = sum(id == target.id for id, _, at in Target.arrivals if at < told)
    late = [at - told for id, _, at in Target.arrivals
            if id == target.id and at > told + DRAIN_S]
    assert before > 0 and not late, (before, late)


run_checks(sys.argv[1], [check_leaves_while_its_queue_is_full,
                         check_leaves_while_requests_wait])
