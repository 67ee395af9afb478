"""All relays together keep to the rate of a cold target while they end and return,
and while they are cut off from control."""
import argparse
import json
import random
import threading
import time

from relay_fleet import Target, run_checks, wait_for

parser = argparse.ArgumentParser()
parser.add_argument("build")
parser.add_argument("checks", nargs="*")
parser.add_argument("--relays", type=int, default=2)
parser.add_argument("--rate", type=int, default=60)
parser.add_argument("--seconds", type=float, default=15)
parser.add_argument("--seed", type=int, default=45)
ARGS = parser.parse_intermixed_args()
RELAYS = tuple(range(5, 5 + ARGS.relays))
ALLOWED = 1.5 * ARGS.rate + 5  # requests in any second
CALLERS = 24


class Callers:
    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.began = time.time()
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(n,), daemon=True)
                        for n in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def run(self, n):
        i = 0
        while not self.stopped.is_set():
            i += 1
            self.fleet.call("safe", "ok", "%s-%d-%d" % (self.name, n, i),
                            relay=RELAYS[n % len(RELAYS)], timeout_ms=500)
            self.stopped.wait(0.02)

    def stop(self):
        """Returns the most requests in a second at one target, and per second."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()
        most, count = 0, 0
        for target in self.fleet.targets:
            times = sorted(at for target_id, _, at in Target.arrivals
                           if target_id == target.id and at > self.began)
            count = max(count, len(times))
            first = 0
            for last, at in enumerate(times):
                while times[first] <= at - 1:
                    first += 1
                most = max(most, last - first + 1)
        mean = count / (time.time() - self.began)
        print("%s: %d requests in the worst second, %.1f on average, %g allowed"
              % (self.name, most, mean, ALLOWED))
        return most, mean


def make_cold(fleet):
    manifest = json.loads(fleet.manifest())
    manifest["backends"][0]["cold_per_s"] = ARGS.rate
    for route in manifest["routes"]:
        route["anonymous"] = True  # keys are refused without control
    fleet.put_manifest(json.dumps(manifest))
    for target in fleet.targets:
        target.cold_ms = 120000
    time.sleep(1)


def check_steady(fleet):
    make_cold(fleet)
    time.sleep(2)
    callers = Callers(fleet, "steady")
    time.sleep(ARGS.seconds / 2)
    most, mean = callers.stop()
    assert most <= ALLOWED, most
    assert mean > 0.7 * ARGS.rate, mean


def end_and_return(fleet, name, relays, at_once):
    rng = random.Random(ARGS.seed)
    callers = Callers(fleet, name)
    end = time.time() + ARGS.seconds
    while time.time() < end:
        time.sleep(rng.uniform(0.5, 2.5))
        for n in relays:
            fleet.kill("relay-%d" % n)
            if not at_once:
                fleet.relay(n)
        for n in relays if at_once else ():
            fleet.relay(n)
    most, _ = callers.stop()
    assert most <= ALLOWED, most


def check_relays_end_and_return(fleet):
    make_cold(fleet)
    end_and_return(fleet, "series", RELAYS, False)


def check_relays_end_and_return_at_once(fleet):
    make_cold(fleet)
    end_and_return(fleet, "once", RELAYS, True)


def check_leaders_and_relays_end_and_return(fleet):
    """Relays return while a new leader doesn't know all of them."""
    make_cold(fleet)
    rng = random.Random(ARGS.seed)
    callers = Callers(fleet, "leaders")
    end = time.time() + ARGS.seconds
    while time.time() < end:
        leader = fleet.leader()
        if leader is not None:
            fleet.kill("127.0.0.%d" % leader)
            fleet.control(leader)
        wait_for("a new leader", lambda: fleet.leader() is not None)
        for _ in range(2):
            time.sleep(rng.uniform(0.1, 2))
            for n in RELAYS:
                fleet.kill("relay-%d" % n)
                fleet.relay(n)
    most, _ = callers.stop()
    assert most <= ALLOWED, most


def check_relays_cut_off_from_control(fleet):
    """Half of the relays go on without control, which doesn't list them."""
    make_cold(fleet)
    callers = Callers(fleet, "cut")
    cut = RELAYS[len(RELAYS) // 2:]
    for n in (2, 3, 4):
        for relay in cut:
            fleet.proxies[n].cut("relay-%d" % relay)
    time.sleep(ARGS.seconds + 12)
    for n in (2, 3, 4):
        fleet.proxies[n].heal()
    time.sleep(4)
    most, _ = callers.stop()
    assert most <= ALLOWED, most


CHECKS = [check_steady, check_relays_end_and_return,
          check_relays_end_and_return_at_once,
          check_leaders_and_relays_end_and_return,
          check_relays_cut_off_from_control]
run_checks(ARGS.build, [check for check in CHECKS
                        if not ARGS.checks or check.__name__ in ARGS.checks],
           1, relays=RELAYS, proxied=True, retry_window_s=10)
