"""A target leaves while the member that acknowledges it stops leading, or its
connections fail: paused, killed, silent (both ways or one way) or reset. Heartbeats
from before arrive late. Later than the time limit no relay sends to the target.

usage: relay_departs_cut.py BUILD-FOLDER [SEED [CASE..]]
"""
import random
import signal
import sys
import threading
import time

from fleet_cuts import CONTROL, RELAYS, each_connection, silence
from relay_fleet import Target, run_checks, wait_for

SEED = int(sys.argv[2]) if len(sys.argv) > 2 else 45
DRAIN_S = 2.5  # time limit of the platform
WATCHED_S = 3
PAUSE_S = 4  # of a process that is stopped


def process_of(fleet, n):
    return fleet.processes["relay-%d" % n if n in RELAYS else "127.0.0.%d" % n]


def reset(fleet, ours, others):
    for proxy, name, _ in each_connection(fleet, ours, others):
        proxy.reset(name)


def delay(fleet, ours, others, seconds):
    for proxy, name, _ in each_connection(fleet, ours, others):
        proxy.delay(seconds, name)


def pause(fleet, n):
    process = process_of(fleet, n)
    process.send_signal(signal.SIGSTOP)
    timer = threading.Timer(PAUSE_S, process.send_signal, (signal.SIGCONT,))
    timer.daemon = True
    timer.start()


def kill(fleet, n):
    fleet.kill("127.0.0.%d" % n)
    timer = threading.Timer(1, fleet.control, (n,))
    timer.daemon = True
    timer.start()


def rest(leader):
    return tuple(n for n in CONTROL if n != leader)


# What happens to the leader @n of fleet @f.
CASES = {
    "paused": lambda f, n: pause(f, n),
    "killed": lambda f, n: kill(f, n),
    "all silent": lambda f, n: silence(f, (n,), rest(n) + RELAYS),
    "says nothing": lambda f, n: silence(f, (n,), rest(n) + RELAYS, "out"),
    "hears nothing": lambda f, n: silence(f, (n,), rest(n) + RELAYS, "in"),
    "relays silent": lambda f, n: silence(f, (n,), RELAYS),
    "says nothing to relays": lambda f, n: silence(f, (n,), RELAYS, "out"),
    "hears nothing of relays": lambda f, n: silence(f, (n,), RELAYS, "in"),
    "members silent": lambda f, n: silence(f, (n,), rest(n)),
    "says nothing to members": lambda f, n: silence(f, (n,), rest(n), "out"),
    "hears nothing of members": lambda f, n: silence(f, (n,), rest(n), "in"),
    "all control silent": lambda f, n: silence(f, CONTROL, RELAYS),
    "relays and members silent": lambda f, n: (
        silence(f, CONTROL, RELAYS), silence(f, (n,), rest(n))),
    "all reset": lambda f, n: reset(f, (n,), rest(n) + RELAYS),
    "delayed": lambda f, n: delay(f, (n,), rest(n) + RELAYS, 0.15),
    "silent, then killed": lambda f, n: (
        silence(f, (n,), rest(n) + RELAYS), kill(f, n)),
    "relays silent, then paused": lambda f, n: (
        silence(f, (n,), RELAYS), pause(f, n)),
}


class Callers:
    """Calls both relays until stopped."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.statuses = []
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(n,),
                                         daemon=True) for n in range(12)]
        for thread in self.threads:
            thread.start()

    def run(self, n):
        i = 0
        while not self.stopped.is_set():
            i += 1
            self.statuses.append(self.fleet.call(
                "safe", "brief", "%s-%d-%d" % (self.name, n, i),
                relay=5 + n % 2)[0])
            time.sleep(0.01)

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


def acknowledge(target, verb):
    def acknowledged():
        answer = target.post(verb)
        return answer is not None and answer[0] == 200

    wait_for("the leave is acknowledged", acknowledged)
    return time.time()


def wait_for_leader(fleet):
    found = []
    wait_for("there is a leader", lambda: found.append(fleet.leader())
             or found[-1] is not None)
    return found[-1]


def leave(fleet, case, before_s, verb, late):
    """The target leaves @before_s after the case begins (negative: before it)."""
    target = fleet.targets[0]
    wait_for_leader(fleet)
    wait_for("the target is used", lambda: fleet.call(
        "safe", attempt="use%d" % time.time_ns())[0] == 200 and any(
            id == target.id for id, _, _ in Target.arrivals[-9:]))
    callers = Callers(fleet, "%s-%s" % (case.replace(" ", "-"), target.id))
    time.sleep(0.3)
    target.stopped.set()  # its own heartbeats
    time.sleep(0.3)
    old, target.sequence = target.sequence + 1, target.sequence + 100
    leader = wait_for_leader(fleet)
    delay(fleet, CONTROL, CONTROL + RELAYS, 0)
    if before_s >= 0:
        CASES[case](fleet, leader)
        time.sleep(before_s)
    if verb == "heartbeat":
        target.state = "draining"
    told = acknowledge(target, verb)
    if before_s < 0:
        time.sleep(-before_s)
        CASES[case](fleet, leader)
    target.state = "ready"
    end = told + DRAIN_S + WATCHED_S
    while time.time() < end:
        if late:
            target.post("heartbeat", old)
            old += 1
        time.sleep(0.15)
    callers.stop()
    arrivals = [at - told for id, _, at in Target.arrivals
                if id == target.id and at > told + DRAIN_S]
    served = sum(status == 200 for status in callers.statuses)
    last = max([at - told for id, _, at in Target.arrivals if id == target.id])
    print("%s, %.2f s, %s, late heartbeats %s: last at %.2f s, %d of %d served"
          % (case, before_s, verb, late, last, served, len(callers.statuses)),
          flush=True)
    target.socket.close()
    number = (int(target.id.split("-")[1]) + 3) % 60
    fleet.targets[0] = Target(fleet, number, "app", "dc0")
    assert not arrivals, "%s: %d requests up to %.1f s after" % (
        case, len(arrivals), arrivals[-1])


def check_cases(fleet):
    rng = random.Random(SEED)
    for n in (1, 2):  # relays prefer the targets of their data centre
        fleet.targets[n].stopped.set()
        fleet.targets[n].socket.close()
        fleet.targets[n] = Target(fleet, 10 * n + n, "app", "dc0")
    failed = []
    for case in sys.argv[3:] or CASES:
        try:
            leave(fleet, case, rng.choice((-0.3, -0.01, 0, 0.4, 0.9)),
                  rng.choice(("heartbeat", "deregister")), rng.random() < 0.7)
        except AssertionError as error:
            failed.append(str(error))
            print(error, flush=True)
        time.sleep(1.5)
    assert not failed, failed


if __name__ == "__main__":
    run_checks(sys.argv[1], [check_cases], proxied=True)
