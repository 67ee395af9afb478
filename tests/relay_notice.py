"""What a target says about itself in its answers binds all relays: how many
requests per second it takes, that it is leaving, and that it wants a pause."""
import sys
import threading
import time

from relay_fleet import Target, run_checks, wait_for

WINDOW_S = 4  # of the guarantee for limits
TOLD_S = 0.5  # time after which a relay that was told must comply
RELAYS = (5, 6)


class Load:
    """Callers of all relays, each with one request after the other."""

    def __init__(self, fleet, name, callers=16, route="safe", behavior="ok",
                 pause=0.03, relays=RELAYS):
        self.fleet, self.name, self.pause = fleet, name, pause
        self.route, self.behavior = route, behavior
        self.stopped = threading.Event()
        self.results = []  # start, end, status, attempt, headers
        self.threads = [
            threading.Thread(target=self.run, args=(n, relays[n % len(relays)]),
                             daemon=True)
            for n in range(callers)]
        for thread in self.threads:
            thread.start()

    def run(self, n, relay):
        i = 0
        while not self.stopped.is_set():
            i += 1
            attempt = "%s-%d-%d" % (self.name, n, i)
            began = time.time()
            status, _, headers = self.fleet.call(
                self.route, self.behavior, attempt=attempt, relay=relay)
            self.results.append((began, time.time(), status, attempt, headers))
            time.sleep(self.pause)

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()
        return self.results

    def run_for(self, seconds):
        time.sleep(seconds)
        return self.stop()


def arrivals_at(target_id, since=0.0, until=1e12):
    return [at for target, _, at in list(Target.arrivals)
            if target == target_id and since <= at <= until]


def most_in_window(times):
    return max((sum(1 for t in times if start <= t < start + WINDOW_S)
                for start in times), default=0)


def allowed(limit):
    return 1.5 * limit * WINDOW_S + 5


def say_nothing(fleet):
    """Ends all statements; waits until the relays know."""
    for target in fleet.targets:
        target.says = ""
    Load(fleet, "quiet%d" % time.time_ns(), 4).run_for(2.5)


def check_limit(fleet):
    """All relays together keep to the limit; other targets take the rest."""
    target = fleet.targets[0]
    target.says = "Server-Limit: 4\r\n"
    began = time.time()
    results = Load(fleet, "limit").run_for(9)
    most = most_in_window(arrivals_at(target.id, began + TOLD_S))
    assert most <= allowed(4), "%d requests in 4 s" % most
    assert len(arrivals_at(target.id, began + 5, began + 9)) >= 4 * 4 * 0.7
    served = sum(1 for r in results if r[2] == 200)
    assert served > 0.99 * len(results), (served, len(results))


def check_limit_of_all(fleet):
    """What no target takes is refused at once, with a Retry-After."""
    for target in fleet.targets:
        target.says = "Server-Limit: 3\r\n"
    began = time.time()
    results = Load(fleet, "all", 24, pause=0.1).run_for(8)
    for target in fleet.targets:
        most = most_in_window(arrivals_at(target.id, began + TOLD_S))
        assert most <= allowed(3), "%d requests in 4 s" % most
    settled = [r for r in results if r[0] > began + 2]
    refused = sorted(r[1] - r[0] for r in settled if r[2] == 503)
    assert len(refused) > 0.5 * len(settled), len(refused)
    assert refused[len(refused) // 2] < 0.1, refused[len(refused) // 2]
    assert all("Retry-After" in r[4] for r in settled if r[2] == 503)
    served = sum(1 for r in settled if r[2] == 200)
    assert served >= 6 * 3 * 3 * 0.7, served


def check_limit_changes(fleet):
    """A limit falls, rises and ends; a new incarnation has none."""
    target = fleet.targets[0]
    load = Load(fleet, "change")
    for limit in (8, 2, 12):
        target.says = "Server-Limit: %d\r\n" % limit
        began = time.time()
        time.sleep(6)
        most = most_in_window(arrivals_at(target.id, began + TOLD_S + 0.5))
        assert most <= allowed(limit), (limit, most)
    target.says = ""
    ended = time.time()
    wait_for("the limit ends", lambda: len(
        arrivals_at(target.id, time.time() - 1)) > 25, 8)
    assert time.time() - ended < 5
    target.says = "Server-Limit: 1\r\n"
    time.sleep(3)
    target.crash()
    wait_for("the new incarnation has no limit", lambda: len(
        arrivals_at(target.id, time.time() - 1)) > 25, 10)
    load.stop()


def check_bad_values(fleet):
    """Values that cannot be read do not stop a target, nor end a limit."""
    target = fleet.targets[0]
    load = Load(fleet, "bad")
    for value in ("", "-1", "nan", "inf", "five", "0x10", "1e9", "5,7", "1 2",
                  "9" * 500, "\xff"):
        target.says = ("Server-Limit: %s\r\nServer-Leaving: %s\r\n"
                       "Retry-After: %s\r\n" % (value, value, value))
        time.sleep(0.4)
    most = len(arrivals_at(target.id, time.time() - 2))
    assert most > 40, most
    target.says = "Server-Limit: 4\r\n"
    time.sleep(1.5)
    target.says = "Server-Limit: what\r\n"
    began = time.time()
    time.sleep(5)
    most = most_in_window(arrivals_at(target.id, began))
    assert most <= allowed(4), most
    target.says = "Server-Limit: 0\r\n"
    began = time.time()
    time.sleep(6)
    most = most_in_window(arrivals_at(target.id, began + 1))
    assert most <= 5, most
    target.says = ""
    wait_for("the limit of 0 ends", lambda: len(
        arrivals_at(target.id, time.time() - 1)) > 25, 12)
    load.stop()


CHECKS = {"limit": [check_limit, check_limit_of_all, check_limit_changes,
                    check_bad_values]}


def with_quiet(check):
    def run(fleet):
        check(fleet)
        say_nothing(fleet)
    run.__name__ = check.__name__
    return run


run_checks(sys.argv[1], [with_quiet(check) for check in CHECKS[sys.argv[2]]])
