"""A relay is out of step with the fleet while targets of a second version of their
software start, or a route gets other services: no stream that its callers take up
there may hold events of two versions, or of two services. Each case has a fleet of
its own.
usage: relay_out_of_step.py BUILD CASE..."""
import json
import os
import signal
import sys
import threading
import time

from fleet_cuts import CONTROL, cut, each_connection, heal, silence
from relay_fleet import Target, run_checks, wait_for
from relay_taken_up import (begin, is_joined, is_joined_from_services, route_to,
                            take_up)

STREAMS = 12
RETRY_S = 0.02
HEARD_S = 0.5  # after which a relay has noticed that it hears nothing
PERMIT_S = 3  # after which a relay that hears nothing has no permit
KEY_LEASE_MS = 120000  # a relay refuses keys later than that
FORGOTTEN_S = 66  # after which a version or service that ended is forgotten
HELD_S = 0.02  # shorter than a request waits for the leader
RETURN_S = 1.5  # how long callers repeat what is refused


def signal_relay(which):
    return lambda fleet: fleet.processes["relay-5"].send_signal(which)


def nothing(_):
    pass


# Puts relay 5 out of step, and has it go on as callers come.
OUT_OF_STEP = {
    "cut-off": (lambda f: cut(f, 5, 6, *CONTROL), nothing),
    "cut-from-control": (lambda f: cut(f, 5, *CONTROL), nothing),
    "cut-from-relays": (lambda f: cut(f, 5, 6), nothing),
    "hears-no-control": (lambda f: silence(f, CONTROL, (5,), "out"), nothing),
    "hears-nothing": (lambda f: silence(f, CONTROL + (6,), (5,), "out"), nothing),
    "says-nothing": (lambda f: silence(f, CONTROL + (6,), (5,), "in"), nothing),
    "stands-still": (signal_relay(signal.SIGSTOP), signal_relay(signal.SIGCONT))}


def is_reached(fleet, relay, target_ids):
    """Whether a stream that begins at @relay reaches one of the targets."""
    name = "probe%d" % time.time_ns()
    begin(fleet, name, relay).close()
    return Target.runs[name][0][0] in target_ids


def start_targets(fleet, first, service="app", version="v1"):
    """Three targets; returns their ids."""
    new = [Target(fleet, first + n, service, "dc0", version=version)
           for n in range(3)]
    fleet.targets += new
    return [t.id for t in new]


def start_second_version(fleet):
    """Targets of a second version serve beside those of the first."""
    new = start_targets(fleet, 10, version="v2")
    wait_for("relay 6 knows the second version",
             lambda: is_reached(fleet, 6, new))


def move_route(*services):
    """Other services serve the route."""
    def move(fleet):
        route_to(fleet, *services)
        other = [t.id for t in fleet.targets if t.service == "other"]
        wait_for("relay 6 knows the route", lambda: is_reached(fleet, 6, other))
    return move


class Callers:
    """Begin streams at relay 6, and take them up at relay 5, every second one
    without naming the attempt that began its stream."""

    def __init__(self, fleet, what, n=STREAMS):
        self.fleet, self.names = fleet, ["%s%d" % (what, i) for i in range(n)]
        self.refused = list(enumerate(self.names))

    def begin(self):
        for conn in [begin(self.fleet, name, 6) for name in self.names]:
            conn.close()

    def return_once(self):
        self.refused = [(i, name) for i, name in self.refused
                        if take_up(self.fleet, name, 5, i % 2 == 0) != 200]

    def begin_and_return_at_once(self):
        for i, name in enumerate(self.names):
            begin(self.fleet, name, 6).close()
            if take_up(self.fleet, name, 5, i % 2 == 0) == 200:
                self.refused.remove((i, name))

    def return_until(self, end):
        """Callers repeat what is refused."""
        while self.refused and time.time() < end:
            self.return_once()
            time.sleep(RETRY_S)
        return self

    def judge(self, joined_by):
        joined = [name for name in self.names if joined_by(self.fleet, name)]
        print("%d of %d go on" % (len(self.names) - len(self.refused),
                                  len(self.names)), flush=True)
        assert not joined, "%d of %d joined" % (len(joined), len(self.names))


def check_in_step(fleet, joined_by):
    """A relay that is back in step takes streams up."""
    heal(fleet)
    wait_for("relay 5 is ready", lambda: fleet.ready(5))

    def is_in_step():
        callers = Callers(fleet, "back%d-" % time.time_ns(), 1)
        callers.begin()
        return not callers.return_until(time.time() + 0.2).refused

    wait_for("a stream goes on at relay 5", is_in_step)
    callers = Callers(fleet, "in-step")
    callers.begin_and_return_at_once()
    callers.return_until(time.time() + RETURN_S).judge(joined_by)
    assert len(callers.refused) <= 0.1 * STREAMS, "%d refused" % len(
        callers.refused)


def check_change(how, change, joined_by, pause_s=0):
    """The change begins @pause_s after relay 5 has got out of step."""
    def check(fleet):
        start_targets(fleet, 20, "other")
        route_to(fleet, "app")
        begin(fleet, "one", 5).close()
        time.sleep(1)
        leave, go_on = OUT_OF_STEP[how]
        leave(fleet)
        time.sleep(pause_s)
        change(fleet)
        callers = Callers(fleet, "changed")
        if how == "stands-still":
            callers.begin()
            go_on(fleet)
        else:
            callers.begin_and_return_at_once()
        callers.return_until(time.time() + RETURN_S).judge(joined_by)
        check_in_step(fleet, joined_by)
    return check


def check_starts_beside_new_leader(fleet):
    """The targets of the first version crash, the relays end, and relay 5 starts
    beside a leader that has never heard of these targets."""
    callers = Callers(fleet, "before")
    callers.begin()
    old, leader = fleet.targets, fleet.leader()
    for target in old:
        target.stop()
    for relay in fleet.relays:
        fleet.kill("relay-%d" % relay)
    fleet.kill("127.0.0.%d" % leader)
    start_targets(fleet, 10, version="v2")
    fleet.relay(5)
    wait_for("relay 5 knows the second version", lambda: fleet.call(
        "safe", attempt="w%d" % time.time_ns())[0] == 200)
    callers.return_until(time.time() + RETURN_S).judge(is_joined)


def check_starts_after_move(fleet):
    """The route moves while relay 5 is down."""
    start_targets(fleet, 20, "other")
    route_to(fleet, "app")
    callers = Callers(fleet, "before")
    callers.begin()
    fleet.kill("relay-5")
    move_route("other")(fleet)
    fleet.relay(5)
    wait_for("relay 5 is ready", lambda: fleet.ready(5))
    callers.return_until(time.time() + RETURN_S).judge(is_joined_from_services)


def check_misses_move(fleet):
    """The route moves, and back, while relay 5 is cut off."""
    start_targets(fleet, 20, "other")
    route_to(fleet, "app")
    begin(fleet, "one", 5).close()
    cut(fleet, 5, 6, *CONTROL)
    move_route("other")(fleet)
    callers = Callers(fleet, "between")
    callers.begin()
    route_to(fleet, "app")
    time.sleep(PERMIT_S)
    heal(fleet)
    callers.return_until(time.time() + 2 * RETURN_S).judge(
        is_joined_from_services)
    check_in_step(fleet, is_joined_from_services)


def check_misses_release(fleet):
    """While relay 5 is cut off, targets of the second version start, and crash
    after streams have begun there; then the leader changes."""
    begin(fleet, "one", 5).close()
    cut(fleet, 5, 6, *CONTROL)
    start_second_version(fleet)
    callers = Callers(fleet, "between")
    callers.begin()
    for target in fleet.targets[3:]:
        target.stop()
    fleet.kill("127.0.0.%d" % fleet.leader())
    time.sleep(PERMIT_S)
    heal(fleet)
    callers.return_until(time.time() + 2 * RETURN_S).judge(is_joined)


def check_misses_equal_requests(fleet):
    """Relay 5 has run the requests before, and does not hear that streams of
    equal ones have begun at relay 6, as it is cut off from it."""
    start_second_version(fleet)
    callers = Callers(fleet, "equal", 2 * STREAMS)
    for name in callers.names:
        begin(fleet, "before-" + name, 5, body=name).close()
    cut(fleet, 5, 6)
    time.sleep(HEARD_S)
    callers.begin()
    callers.return_until(time.time() + RETURN_S).judge(is_joined)
    check_in_step(fleet, is_joined)


def put_routes(fleet, wide, narrow):
    """Services of the route, and of one to a part of its paths; None: none."""
    manifest = json.loads(fleet.manifest())
    route = next(r for r in manifest["routes"] if r["name"] == "resume")
    route["backend"] = wide
    if narrow:
        manifest["routes"].append(dict(route, name="narrow", backend=narrow,
                                       path_prefix="/resume/x"))
    manifest["backends"].append(dict(manifest["backends"][0], name="other"))
    fleet.put_manifest(json.dumps(manifest))


def check_hears_of_routes_while_it_asks(before, after):
    """What control says is late, what relay 6 says is lost: the manifest arrives
    behind callers that take streams up, in front of the leader's answer. The
    arguments are those of put_routes()."""
    def check(fleet):
        other = start_targets(fleet, 20, "other")
        put_routes(fleet, *before)
        time.sleep(0.5)
        begin(fleet, "one", 5).close()
        held = list(each_connection(fleet, CONTROL, (5,)))
        for proxy, name, _ in held:
            proxy.disturb("hold", name)
        put_routes(fleet, *after)
        wait_for("relay 6 knows the routes", lambda: is_reached(fleet, 6, other))
        cut(fleet, 5, 6)
        callers = Callers(fleet, "late")
        callers.begin()
        threads = [threading.Thread(target=take_up, args=(
            fleet, name, 5, i % 2 == 0)) for i, name in callers.refused]
        for thread in threads:
            thread.start()
        time.sleep(HELD_S)
        for proxy, name, _ in held:
            proxy.release(name)
        for thread in threads:
            thread.join()
        callers.judge(is_joined_from_services)
        check_in_step(fleet, is_joined_from_services)
    return check


def check_equal_requests(fleet):
    """Streams of both versions begin with the same request, at relays that don't
    hear of each other: which one a caller takes up that names nothing can't be
    told."""
    begin(fleet, "equal-5", 5, body="equal").close()
    new = start_targets(fleet, 10, version="v2")
    for relay in (5, 6):
        wait_for("relay %d knows the second version" % relay,
                 lambda: is_reached(fleet, relay, new))
    cut(fleet, 5, 6)
    names = ["equal-6-%d" % i for i in range(STREAMS)]
    for name in names:
        begin(fleet, name, 6, body="equal").close()
    second = [n for n in names if Target.runs[n][0][0] in new]
    assert second, "no stream began at the second version"
    status = take_up(fleet, "equal", 5, is_named=False)
    ran = Target.runs.get("equal-again", [])
    assert not ran or ran[0][0] in new, (
        "%d: goes on at the first version, %d of %d began at the second"
        % (status, len(second), STREAMS))


def check_begins_by_old_manifest(fleet):
    """Relay 6 is cut off from control for long, and streams begin there at the
    service that the route has left."""
    start_targets(fleet, 20, "other")
    put_routes(fleet, "app", None)
    begin(fleet, "one", 6).close()
    cut(fleet, 6, *CONTROL)
    put_routes(fleet, "other", None)
    time.sleep(FORGOTTEN_S)
    callers = Callers(fleet, "old")
    callers.begin()
    callers.return_until(time.time() + RETURN_S).judge(is_joined_from_services)


def check_begins_at_old_targets(fleet):
    """Relay 6 and the targets of the first version are cut off from control for
    long, and streams begin there. Relay 5 starts meanwhile."""
    begin(fleet, "one", 6).close()
    cut(fleet, 6, 5, *CONTROL)
    for target in fleet.targets:
        target.beats = False
    start_targets(fleet, 10, version="v2")
    time.sleep(FORGOTTEN_S)
    fleet.kill("relay-5")
    fleet.relay(5)
    wait_for("relay 5 is ready", lambda: fleet.ready(5))
    callers = Callers(fleet, "old")
    callers.begin()
    callers.return_until(time.time() + RETURN_S).judge(is_joined)


def check_equal_requests_in_touch(fleet):
    """The same at relays that hear of each other, if the caller returns at
    once."""
    new = start_targets(fleet, 10, version="v2")
    for relay in (5, 6):
        wait_for("relay %d knows the second version" % relay,
                 lambda: is_reached(fleet, relay, new))
    joined = 0
    for i in range(STREAMS):
        body = "equal%d" % i
        for relay in (5, 6):
            name = "%s-%d" % (body, relay)
            begin(fleet, name, relay, body=body).close()
            time.sleep(0.2 if relay == 5 else 0)
        take_up(fleet, body, 5, is_named=False)
        runs = Target.runs.get(body + "-again", []) + Target.runs[name]
        joined += len({run[0] in new for run in runs}) > 1
    assert not joined, "%d of %d joined" % (joined, STREAMS)


CHANGES = {"release": (start_second_version, is_joined),
           "move": (move_route("other"), is_joined_from_services),
           "split": (move_route("app", "other"), is_joined_from_services)}
CASES = {"starts-beside-new-leader": check_starts_beside_new_leader,
         "starts-after-move": check_starts_after_move,
         "misses-move": check_misses_move,
         "misses-release": check_misses_release,
         "misses-equal-requests": check_misses_equal_requests,
         "late-narrower-route": check_hears_of_routes_while_it_asks(
             ("app", None), ("app", "other")),
         "late-removed-route": check_hears_of_routes_while_it_asks(
             ("other", "app"), ("other", None)),
         "old-manifest": check_begins_by_old_manifest,
         "old-targets": check_begins_at_old_targets,
         "equal-requests": check_equal_requests,
         "equal-requests-in-touch": check_equal_requests_in_touch}
for what, (change, joined_by) in CHANGES.items():
    for how in OUT_OF_STEP:
        CASES["%s-%s" % (what, how)] = check_change(how, change, joined_by)
        CASES["%s-%s-long" % (what, how)] = check_change(
            how, change, joined_by, PERMIT_S)


def run_case(case):
    """Runs a case in a process of its own, as its targets hold their ports."""
    child = os.fork()
    if child == 0:
        code = 1
        try:
            run_checks(sys.argv[1], [CASES[case]], retry_extra=4000,
                       proxied=True, key_lease_ms=KEY_LEASE_MS)
            code = 0
        except AssertionError as error:
            print("FAILED %s: %s" % (case, error), flush=True)
        finally:
            os._exit(code)
    return os.waitpid(child, 0)[1] == 0


if __name__ == "__main__":
    passed = [case for case in sys.argv[2:] or CASES if run_case(case)]
    sys.exit(len(passed) < len(sys.argv[2:] or CASES))
