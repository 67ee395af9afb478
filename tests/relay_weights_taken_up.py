"""Callers take streams up while targets with two versions of their weights serve,
all of one version of the software: no stream may hold events of both weights.
usage: relay_weights_taken_up.py BUILD honours|ignores"""
import http.client
import sys
import time

from relay_fleet import BEHAVIOR_HEADER, KEY, Target, run_checks
from relay_order_cases import SCRIPTS, Run, event_of, events
from relay_order_cases import joined as joined_events
from relay_taken_up import begin, begin_each

EXPECT = "X-Quetzalgate-Expect-Version"
STATED = "X-Quetzalgate-Weight-Versions"
STREAMS = 40
RELAYS = ((5, 6), (5, 5), (6, 5), (6, 6))


def serve_two_weights(fleet, honours):
    """Relays have begun streams of both weights."""
    for target in fleet.targets:
        target.weights = 1
    for n, weights in enumerate((1, 1, 2, 2, 2)):
        target = Target(fleet, 10 + n, "app", "dc0")
        target.weights = weights
        fleet.targets.append(target)
    time.sleep(1)
    for relay, weights in ((5, 1), (5, 2), (6, 1), (6, 2)):
        begin_script(fleet, "know%d-%d" % (relay, weights), relay, weights,
                     Run(*events(1), waits=[]))[0].close()
    for target in fleet.targets:
        target.honours_weights = honours


def weights_of(fleet, run):
    return next(t.weights for t in fleet.targets if t.id == run[0])


def take_up(fleet, first, relay, is_named=False, after=1, **headers):
    """Status of the answer, and the weights that its head states."""
    if is_named:
        headers["Resumes"] = first
    headers["Last-Event-Id"] = str(after)
    status, body, answered = fleet.call(
        "resume", "stream", attempt=first + "-again", body=first, relay=relay,
        headers={name.replace("_", "-"): v for name, v in headers.items()})
    assert status in (200, 502, 503), (status, body)
    return status, int(answered[STATED]) if status == 200 else None


def take_up_all(fleet, streams, needed, pause_s=0):
    """The connections stay open, so that targets are chosen in turn."""
    joined = whole = 0
    conns = []
    for i, (name, conn, relay) in enumerate(streams):
        conns.append(conn)
        time.sleep(pause_s)
        status, weights = take_up(fleet, name, relay, i % 2 == 0)
        began = weights_of(fleet, Target.runs[name][0])
        whole += status == 200
        joined += status == 200 and weights != began
    for conn in conns:
        conn.close()
    assert joined == 0, "%d of %d joined" % (joined, i + 1)
    assert whole >= needed * (i + 1), "%d of %d go on" % (whole, i + 1)


def needed(fleet):
    """Targets that ignore what is expected use up the route's attempts."""
    return 0.9 if fleet.targets[0].honours_weights else 0


def check_callers_return_at_once(fleet):
    take_up_all(fleet, begin_each(fleet, "once", RELAYS, STREAMS), needed(fleet))


def check_callers_return_later(fleet):
    take_up_all(fleet, begin_each(fleet, "later", RELAYS, STREAMS),
                needed(fleet), pause_s=0.1)


def begin_script(fleet, name, relay, weights, *runs, body=None):
    """Begins a stream at a target with @weights that honours what is expected;
    its connection and answer."""
    SCRIPTS[name] = list(runs)
    conn = http.client.HTTPConnection("127.0.0.%d" % relay, fleet.port + 2,
                                      timeout=5)
    conn.request("POST", "/resume/x", body or name, {
        "Host": "h.example", "X-Quetzalgate-Attempt-Id": name,
        "X-Quetzalgate-Deadline-Ms": "3900", "X-Quetzalgate-Key": KEY,
        EXPECT: str(weights), BEHAVIOR_HEADER: "script-" + name})
    answer = conn.getresponse()
    assert (answer.status, answer.headers[STATED]) == (200, str(weights))
    return conn, answer


def check_weights_change_within_a_stream(fleet):
    """It goes on with the weights of the last event that its caller has."""
    joined = whole = 0
    for i in range(20):
        name, relays = "changes%d" % i, RELAYS[i % len(RELAYS)]
        changed = STATED.lower().encode() + b": 2\n" + event_of(2)
        conn, answer = begin_script(fleet, name, relays[0], 1,
                                    Run(*events(1), changed, waits=[]))
        body = b""
        while b"p2\n\n" not in body:
            body += answer.read1(1000)
        conn.close()
        time.sleep(0.1)
        status, weights = take_up(fleet, name, relays[1], i % 2 == 0, after=2)
        whole += status == 200
        joined += weights == 1
    assert joined == 0 and whole >= 18, (joined, whole)


def check_change_in_one_of_equal_requests(fleet):
    """Another stream of the same request still has the weights it began with."""
    first, _ = begin_script(fleet, "same-a", 5, 1, Run(*events(1), waits=[]),
                            body="same")
    changed = STATED.lower().encode() + b": 2\n" + event_of(2)
    second, answer = begin_script(fleet, "same-b", 5, 1,
                                  Run(*events(1), changed, waits=[]), body="same")
    while b"p2\n\n" not in answer.read1(1000):
        pass
    first.close()
    second.close()
    time.sleep(0.1)
    for relay in fleet.relays:
        assert take_up(fleet, "same", relay)[0] == 503
    assert "same-again" not in Target.runs


def check_equal_requests(fleet):
    """Streams of both weights began with the same request: which one a caller
    takes up that names nothing can't be told."""
    for n in (1, 2):
        conn, answer = begin_script(fleet, "equal-%d" % n, 5, n,
                                    Run(*events(1), waits=[]), body="equal")
        answer.read1(1000)
        conn.close()
    time.sleep(0.1)
    assert take_up(fleet, "equal", 6)[0] == 503
    assert "equal-again" not in Target.runs


def check_goes_on_within_an_answer(fleet):
    """The next target refuses, or its run is stopped, if it has other weights."""
    joined = 0
    for i in range(20):
        name = "within%d" % i
        status, body, _ = fleet.call("resume", "break", name)
        runs = Target.runs[name]
        weights = [weights_of(fleet, run) for run in runs]
        whole = status == 200 and body == joined_events(*range(1, 7))
        joined += whole and weights[-1] != weights[0]
        expected = [run[1].get(EXPECT) for run in runs[1:]]
        assert expected == [str(weights[0])] * len(expected), expected
    assert joined == 0, "%d of 20 joined" % joined


def check_callers_expectation(fleet):
    """If the caller expects other weights than its stream has, nothing can meet
    both."""
    for i, relay in enumerate((5, 6)):
        conn, answer = begin_script(fleet, "both%d" % i, 5, 1,
                                    Run(*events(1), waits=[]))
        answer.read1(1000)
        conn.close()
        time.sleep(0.1)
        assert take_up(fleet, "both%d" % i, relay, True,
                       X_Quetzalgate_Expect_Version="2")[0] == 503
        assert "both%d-again" % i not in Target.runs
        assert take_up(fleet, "both%d" % i, relay, True,
                       X_Quetzalgate_Expect_Version="1") == (200, 1)


def check_no_target_has_the_weights(fleet):
    """The request is refused, unrun, and the targets that refuse it serve on."""
    streams = [begin_script(fleet, "gone%d" % i, 5, 1, Run(*events(1), waits=[]))
               for i in range(10)]
    for target in fleet.targets:
        target.weights = 2
    for i, (conn, answer) in enumerate(streams):
        answer.read1(1000)
        conn.close()
        began = time.time()
        assert take_up(fleet, "gone%d" % i, 5 + i % 2)[0] == 503
        assert time.time() - began < 1
        assert "gone%d-again" % i not in Target.runs
    for i in range(20):
        began = time.time()
        assert fleet.call("safe", attempt="on%d" % i, relay=5 + i % 2)[0] == 200
        assert time.time() - began < 0.5


def serve_targets_that_honour(fleet):
    serve_two_weights(fleet, True)


def serve_targets_that_ignore(fleet):
    serve_two_weights(fleet, False)


TAKEN_UP = [check_callers_return_at_once, check_callers_return_later,
            check_goes_on_within_an_answer]
CHECKS = {
    "honours": [serve_targets_that_honour, *TAKEN_UP,
                check_callers_expectation, check_weights_change_within_a_stream,
                check_change_in_one_of_equal_requests, check_equal_requests,
                check_no_target_has_the_weights],
    "ignores": [serve_targets_that_ignore, *TAKEN_UP]}
if __name__ == "__main__":
    run_checks(sys.argv[1], CHECKS[sys.argv[2]], retry_extra=4000)
