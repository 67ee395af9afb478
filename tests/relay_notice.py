"""What a target says about itself in its answers binds all relays: how many
requests per second it takes, that it is leaving, and that it wants a pause."""
import email.utils
import signal
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


def others_served(results, since, until=1e12):
    settled = [r for r in results if r[0] > since and r[1] < until]
    served = sum(1 for r in settled if r[2] == 200)
    others = [(round(r[0] - since, 3), r[2], r[4].get("Retry-After"), r[3])
              for r in settled if r[2] != 200]
    assert served > 0.99 * len(settled) > 0, (served, len(settled), others)


def check_leaving(fleet):
    """A target that says it is leaving gets no more requests from the relays
    that it told, although control still lists it."""
    target = fleet.targets[0]
    load = Load(fleet, "leave")
    time.sleep(1)
    target.says = "Server-Leaving: 1\r\n"
    began = time.time()
    time.sleep(3)
    assert len(arrivals_at(target.id, began + 1)) == 0
    target.crash(keep_id=True)
    wait_for("a new incarnation with the same id is used",
             lambda: arrivals_at(target.id, time.time() - 0.5), 8)
    target.says = "Server-Leaving: 1\r\n"
    time.sleep(1)
    target.crash()
    wait_for("a new incarnation with a new id is used",
             lambda: arrivals_at(target.id, time.time() - 0.5), 8)
    others_served(load.stop(), began, began + 2.5)


def check_leaving_without_control(fleet):
    """The same while the relays have no contact with control."""
    target = fleet.targets[0]
    load = Load(fleet, "cut")
    wait_for("the target is used", lambda: arrivals_at(target.id))
    for n in (2, 3, 4):
        fleet.kill("127.0.0.%d" % n, signal.SIGSTOP)
    try:
        target.says = "Server-Leaving: 1\r\n"
        began = time.time()
        time.sleep(3)
        assert len(arrivals_at(target.id, began + 1)) == 0
    finally:
        for n in (2, 3, 4):
            fleet.kill("127.0.0.%d" % n, signal.SIGCONT)
    target.crash()
    wait_for("control is back", lambda: fleet.leader() is not None)
    wait_for("a new incarnation is used",
             lambda: arrivals_at(target.id, time.time() - 0.5), 25)
    load.stop()


def check_stream_of_leaving_target(fleet):
    """A stream ends whole although its target says that it is leaving; a broken
    one resumes at another target."""
    for target in fleet.targets:
        target.says = "Server-Leaving: 1\r\n"
    whole = b"".join(b"id: %d\ndata: p%d\n\n" % (n, n) for n in range(1, 7))
    assert fleet.call("streaming", "stream", attempt="ls")[:2] == (200, whole)
    status, body, _ = fleet.call("resume", "break", attempt="lr")
    assert (status, body) == (200, whole), (status, body)


def check_all_leave(fleet):
    """Without a target that stays, requests are refused at once."""
    for target in fleet.targets:
        target.says = "Server-Leaving: 1\r\n"
    Load(fleet, "told", 12, pause=0).run_for(1)
    for relay in RELAYS:
        began = time.time()
        status, body, headers = fleet.call("safe", attempt="al%d" % relay,
                                           relay=relay)
        assert status == 503 and "Retry-After" in headers, (status, headers)
        assert b"shutting down" in body, body
        assert time.time() - began < 0.15
    for target in fleet.targets:
        target.crash()
    wait_for("new incarnations are used", lambda: all(
        fleet.call("safe", attempt="back%d" % time.time_ns(), relay=relay)[0]
        == 200 for relay in RELAYS))


def check_leaving_and_restart_of_relay(fleet):
    """A relay that restarts learns again from the first answer."""
    target = fleet.targets[0]
    wait_for("the target is used", lambda: fleet.call(
        "safe", attempt="u%d" % time.time_ns())[0] == 200
        and arrivals_at(target.id))
    target.says = "Server-Leaving: 1\r\n"
    Load(fleet, "before", 8, pause=0).run_for(0.5)
    fleet.kill("relay-6")
    fleet.relay(6)
    wait_for("relay 6 is ready", lambda: fleet.ready(6))
    load = Load(fleet, "after", 8, relays=(6,))
    time.sleep(1.5)
    began = time.time()
    time.sleep(2)
    assert len(arrivals_at(target.id, began)) == 0
    load.stop()
    target.crash()


def turn_away(target, header, seconds):
    """Lets @target refuse with @header until a request has come; returns the
    time of that."""
    target.says, target.turns_away = header, True
    began = time.time()
    wait_for("a request is turned away",
             lambda: arrivals_at(target.id, began), seconds)
    told = time.time()
    time.sleep(0.1)
    target.says, target.turns_away = "", False
    return told


def check_pause(fleet):
    """A target that asks for a pause gets at most two requests in it, and then
    not all at once."""
    target = fleet.targets[0]
    load = Load(fleet, "pause", 30, behavior="brief", pause=0, relays=(5,))
    told = turn_away(target, "Retry-After: 2\r\n", 8)
    time.sleep(3.5)
    assert len(arrivals_at(target.id, told + 0.5, told + 1.9)) <= 2
    # One request of 50 ms at a time in the first 250 ms.
    after = arrivals_at(target.id, told + 1.9, told + 2.2)
    assert len(after) <= 6, len(after)
    wait_for("the target is used again",
             lambda: len(arrivals_at(target.id, time.time() - 0.5)) > 20, 5)
    others_served(load.stop(), told + 0.5)


def check_pause_values(fleet):
    """Pauses in other forms; unusable values are no pause."""
    target = fleet.targets[0]
    load = Load(fleet, "value", 30, pause=0, relays=(5,))
    for value, paused in (("1.5", True), ("date", True), ("0", False),
                          ("-5", False), ("soon", False), ("1e9", False)):
        if value == "date":
            value = email.utils.formatdate(time.time() + 3, usegmt=True)
        told = turn_away(target, "Retry-After: %s\r\n" % value, 10)
        # Requests that prefer another target show nothing about this one.
        for other in fleet.targets[1:]:
            other.turns_away = not paused
        time.sleep(1.4)
        for other in fleet.targets[1:]:
            other.turns_away = False
        n = len(arrivals_at(target.id, told + 0.5, told + 1.3))
        assert n <= 2 if paused else n > 2, (value, n)
        time.sleep(2.5)
    load.stop()


def check_pause_and_restart_of_relay(fleet):
    """A relay that restarts learns of the pause from the first answer."""
    target = fleet.targets[0]
    target.says, target.turns_away = "Retry-After: 3\r\n", True
    load = Load(fleet, "again", 30, behavior="brief", pause=0, relays=(5,))
    wait_for("a request is turned away", lambda: arrivals_at(target.id))
    time.sleep(0.3)
    fleet.kill("relay-5")
    fleet.relay(5)
    began = time.time()
    time.sleep(2)
    n = len(arrivals_at(target.id, began))
    target.says, target.turns_away = "", False
    load.stop()
    assert n <= 2, n


def check_all_pause(fleet):
    """Requests are refused at once, with the time that the pause lasts."""
    for target in fleet.targets:
        target.says, target.turns_away = "Retry-After: 3\r\n", True
    Load(fleet, "told", 12, pause=0).run_for(0.6)
    for relay in RELAYS:
        began = time.time()
        status, body, headers = fleet.call("safe", attempt="ap%d" % relay,
                                           relay=relay)
        assert status == 503 and b"pause" in body, (status, body)
        assert 0.5 < float(headers["Retry-After"]) <= 3, headers
        assert time.time() - began < 0.15
    for target in fleet.targets:
        target.says, target.turns_away = "", False
    wait_for("the targets are used again", lambda: all(
        fleet.call("safe", attempt="ab%d" % time.time_ns(), relay=relay)[0]
        == 200 for relay in RELAYS))


CHECKS = {
    "limit": [check_limit, check_limit_of_all, check_limit_changes,
              check_bad_values],
    "leave": [check_leaving, check_leaving_without_control, check_all_leave,
              check_leaving_and_restart_of_relay,
              check_stream_of_leaving_target],
    "pause": [check_pause, check_pause_values,
              check_pause_and_restart_of_relay, check_all_pause]}


def with_quiet(check):
    def run(fleet):
        check(fleet)
        say_nothing(fleet)
    run.__name__ = check.__name__
    return run


run_checks(sys.argv[1], [with_quiet(check) for check in CHECKS[sys.argv[2]]])
