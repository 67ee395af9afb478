"""The rate that a target states holds for all relays together while they end and
return, and while connections between them go silent."""
import argparse
import random
import threading
import time

from relay_fleet import Target, run_checks

parser = argparse.ArgumentParser()
parser.add_argument("build")
parser.add_argument("checks", nargs="*")
parser.add_argument("--relays", type=int, default=2)
parser.add_argument("--limit", type=float, default=4)
parser.add_argument("--seconds", type=float, default=20)
parser.add_argument("--callers", type=int, default=24)
parser.add_argument("--seed", type=int, default=45)
ARGS = parser.parse_intermixed_args()
RELAYS = tuple(range(5, 5 + ARGS.relays))
WINDOW_S = 4  # of the guarantee for limits
TOLD_S = 2  # time after which the relays comply
ALLOWED = 1.5 * ARGS.limit * WINDOW_S + 5


class Callers:
    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.target = fleet.targets[0]
        self.target.says = "Server-Limit: %g\r\n" % ARGS.limit
        self.began = time.time()
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(n,), daemon=True)
                        for n in range(ARGS.callers)]
        for thread in self.threads:
            thread.start()
        time.sleep(TOLD_S)

    def run(self, n):
        i = 0
        while not self.stopped.is_set():
            i += 1
            self.fleet.call("safe", "brief", "%s-%d-%d" % (self.name, n, i),
                            relay=RELAYS[n % len(RELAYS)])
            self.stopped.wait(0.02)

    def check(self):
        """The most requests at the target within WINDOW_S are allowed."""
        self.stopped.set()
        for thread in self.threads:
            thread.join()
        self.target.says = ""
        times = sorted(at for target_id, _, at in Target.arrivals
                       if target_id == self.target.id
                       and at > self.began + TOLD_S)
        most = max(sum(1 for at in times if start <= at < start + WINDOW_S)
                   for start in times)
        mean = len(times) / (time.time() - self.began - TOLD_S)
        print("%s: %d requests in the worst %g s, %.1f a second on average, %g "
              "allowed" % (self.name, most, WINDOW_S, mean, ALLOWED))
        assert most <= ALLOWED, most


def check_steady(fleet):
    callers = Callers(fleet, "steady")
    time.sleep(ARGS.seconds / 2)
    callers.check()


def check_relays_end_and_return(fleet):
    rng = random.Random(ARGS.seed)
    callers = Callers(fleet, "series")
    end = time.time() + ARGS.seconds
    while time.time() < end:
        time.sleep(rng.uniform(0.5, 2.5))
        for n in RELAYS:
            fleet.kill("relay-%d" % n)
            fleet.relay(n)
    callers.check()


def check_silence_between_relays(fleet):
    """Open connections between relays go silent again and again."""
    rng = random.Random(ARGS.seed)
    callers = Callers(fleet, "silence")
    end = time.time() + ARGS.seconds
    while time.time() < end:
        time.sleep(rng.uniform(0.5, 2.5))
        for n in RELAYS:
            fleet.proxies[n].silence()
    callers.check()


def check_delays_between_relays(fleet):
    rng = random.Random(ARGS.seed)
    callers = Callers(fleet, "delays")
    end = time.time() + ARGS.seconds
    while time.time() < end:
        time.sleep(rng.uniform(0.2, 1))
        for n in RELAYS:
            fleet.proxies[n].delay(rng.choice((0, 0.3, 0.8)))
    callers.check()


def check_relays_cut_off_from_each_other(fleet):
    callers = Callers(fleet, "apart")
    for n in RELAYS:
        for other in RELAYS:
            fleet.proxies[n].cut("relay-%d" % other)
    time.sleep(ARGS.seconds)
    callers.check()
    for n in RELAYS:
        fleet.proxies[n].heal()


def check_relays_cut_off_from_control(fleet):
    """Half of the relays go on without control and without the others."""
    callers = Callers(fleet, "cut")
    for n in (2, 3, 4) + RELAYS:
        for relay in RELAYS[len(RELAYS) // 2:]:
            if n != relay:
                fleet.proxies[n].cut("relay-%d" % relay)
    time.sleep(ARGS.seconds + 15)
    callers.check()
    for n in (2, 3, 4) + RELAYS:
        fleet.proxies[n].heal()


CHECKS = [check_steady, check_relays_end_and_return,
          check_silence_between_relays, check_delays_between_relays,
          check_relays_cut_off_from_each_other,
          check_relays_cut_off_from_control]
run_checks(ARGS.build, [check for check in CHECKS
                        if not ARGS.checks or check.__name__ in ARGS.checks],
           relays=RELAYS, proxied=True, retry_window_s=10)
