"""What control acknowledged about a target that leaves holds after the member
that acknowledged it is gone, although the target's earlier heartbeats arrive
late."""
import socket
import sys
import threading
import time

from relay_fleet import Target, run_checks, wait_for

DRAIN_S = 2.5  # time limit of the platform
WATCHED_S = 4.5  # observed after that limit
LATE_HEARTBEATS = 30


def use_targets(fleet):
    """Sends so many requests at once that all targets get some."""
    threads = [threading.Thread(target=fleet.call, args=(
        "safe", "brief", "all%d-%d" % (time.time_ns(), i))) for i in range(20)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return True


class Callers:
    """Calls both relays until stopped."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(n,),
                                         daemon=True) for n in range(20)]
        for thread in self.threads:
            thread.start()

    def run(self, n):
        i = 0
        while not self.stopped.is_set():
            i += 1
            self.fleet.call("safe", "brief", "%s-%d-%d" % (self.name, n, i),
                            relay=5 + n % 2)
            time.sleep(0.01)

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


def restart_relay(fleet, leader):
    fleet.kill("relay-6")
    fleet.relay(6)


def replace_target(fleet, n):
    fleet.targets[n].stop()
    number = 10 + int(fleet.targets[n].id.split("-")[1])
    target = fleet.targets[n] = Target(fleet, number, "app", "dc0")
    wait_for("the new target is used", lambda: use_targets(fleet) and any(
        run[0] == target.id for run in Target.arrivals[-40:]))


def post_behind_change(fleet, leader, n, verb):
    """Posts @verb of target @n right behind a change of another target, so that
    the leader has just sent an update to the relays when it acknowledges."""
    other = fleet.targets[(n + 1) % 3]
    data = b""
    for target, what, change in ((other, "heartbeat", {"slots": 59}),
                                 (fleet.targets[n], verb, {})):
        path, text = target.statement(**change)
        data += ("POST %s%s HTTP/1.1\r\nHost: c\r\nContent-Length: %d\r\n\r\n%s"
                 % (path, what, len(text), text)).encode()
    with socket.create_connection(("127.0.0.%d" % leader, fleet.port + 1),
                                  timeout=1) as conn:
        conn.sendall(data)
        answers = b""
        while answers.count(b" 200 OK") < 2:
            more = conn.recv(65536)
            assert more, answers
            answers += more


def leave(fleet, n, state, verb, meanwhile=None, late=True):
    """Target @n says that it leaves; the leader is killed as soon as it has
    acknowledged that, and heartbeats from before arrive at the next one."""
    target = fleet.targets[n]
    target.stopped.set()
    time.sleep(0.4)  # the last heartbeat has been answered
    callers = Callers(fleet, "%s%d" % (verb, n))
    old = target.sequence + 1
    target.sequence += LATE_HEARTBEATS + 1
    target.state = state
    leader = fleet.leader()
    before = target.sequence + 1
    post_behind_change(fleet, leader, n, verb)
    told = time.time()
    fleet.kill("127.0.0.%d" % leader)
    if meanwhile is not None:
        meanwhile(fleet, leader)
    target.state = "ready"
    accepted = 0
    while time.time() < told + DRAIN_S + WATCHED_S:
        if late and old + accepted < before:
            answer = target.post("heartbeat", old + accepted)
            accepted += answer is not None and answer[0] == 200
        time.sleep(0.15)
    callers.stop()
    assert accepted or not late, "no leader took a late heartbeat"
    arrivals = [at - told for target_id, _, at in Target.arrivals
                if target_id == target.id and at > told + DRAIN_S]
    fleet.control(leader)
    replace_target(fleet, n)
    assert not arrivals, "%d requests from %.3f to %.3f s after" % (
        len(arrivals), arrivals[0], arrivals[-1])


def check_draining(fleet):
    leave(fleet, 0, "draining", "heartbeat")


def check_draining_without_late_heartbeats(fleet):
    leave(fleet, 1, "draining", "heartbeat", late=False)


def check_draining_and_restart_of_relay(fleet):
    leave(fleet, 2, "draining", "heartbeat", restart_relay)


def check_deregistered(fleet):
    leave(fleet, 0, "ready", "deregister")


def check_deregistered_and_restart_of_relay(fleet):
    leave(fleet, 1, "ready", "deregister", restart_relay)


def check_drained_dc_and_restart_of_relay(fleet):
    """A drain of a data centre, its leader killed at once."""
    leader = fleet.leader()
    assert fleet.control_request("POST", "/drain/dc1/begin")[0] == 200
    told = time.time()
    fleet.kill("127.0.0.%d" % leader)
    restart_relay(fleet, leader)
    callers = Callers(fleet, "dc")
    time.sleep(DRAIN_S + WATCHED_S)
    callers.stop()
    arrivals = [at for target_id, _, at in Target.arrivals
                if target_id == fleet.targets[1].id and at > told + DRAIN_S]
    fleet.control(leader)
    wait_for("the drain is withdrawn", lambda: (fleet.control_request(
        "POST", "/drain/dc1/finish") or (0,))[0] == 200)
    assert not arrivals, len(arrivals)


def check_returns_and_leaves_again(fleet):
    """A target that withdraws its leave and leaves again."""
    target = fleet.targets[2]
    target.stopped.set()
    time.sleep(0.4)
    for state in ("draining", "ready"):
        target.state = state
        assert target.post("heartbeat")[0] == 200
    leave(fleet, 2, "draining", "heartbeat")


def check_targets_of_one_dc(fleet):
    """Relays prefer the targets of their data centre."""
    for n in (1, 2):
        fleet.targets[n].stopped.set()
        replace_target(fleet, n)


CHECKS = [check_drained_dc_and_restart_of_relay, check_targets_of_one_dc,
          check_draining, check_draining_without_late_heartbeats,
          check_draining_and_restart_of_relay, check_deregistered,
          check_deregistered_and_restart_of_relay,
          check_returns_and_leaves_again]
run_checks(sys.argv[1], CHECKS)
