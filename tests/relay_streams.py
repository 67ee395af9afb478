"""Streams whose target breaks off, through the relay: no caller gets an incomplete
stream as complete, or an event twice. The argument names the checks to run."""
import sys

from relay_fleet import Target, run_checks


def events(first, last):
    return b"".join(b"id: %d\ndata: p%d\n\n" % (n, n)
                    for n in range(first, last + 1))


def check_ends(fleet):
    """A stream without a length or chunks is complete if its connection ends
    after an event, and broken off if it ends within one or before the first."""
    for route in ("streaming", "resume"):
        status, body, _ = fleet.call(route, "stream-unframed",
                                     attempt="whole-" + route)
        assert (status, body) == (200, events(1, 6)), (route, status, body)
    for behavior in ("break", "quit"):
        attempt = "cut-" + behavior
        status, body, _ = fleet.call("streaming", behavior + "-unframed",
                                     attempt=attempt)
        assert status == 0, (behavior, status, body)
        assert len(Target.runs[attempt]) == 1, behavior
        attempt = "resumed-" + behavior
        status, body, _ = fleet.call("resume", behavior + "-unframed",
                                     attempt=attempt)
        assert (status, body) == (200, events(1, 6)), (behavior, status, body)
        assert len(Target.runs[attempt]) == 2, behavior
    # A body without a length whose connection is reset is incomplete too.
    status, body, _ = fleet.call("unsafe", "reset-body", attempt="reset")
    assert status == 0, (status, body)


def check_resumed(fleet):
    """A stream that a caller resumed goes on after the event that the caller
    has, also when its target breaks off before the next event."""
    for behavior in ("break", "quit"):
        attempt = "caller-resumed-" + behavior
        status, body, _ = fleet.call("resume", behavior, attempt=attempt,
                                     headers={"Last-Event-Id": "2"})
        assert (status, body) == (200, events(3, 6)), (behavior, status, body)
        after = [run[1].get("Last-Event-Id") for run in Target.runs[attempt]]
        assert after == ["2", "4" if behavior == "break" else "2"], after
    # A run that starts again, or events that cannot be told apart, are not
    # joined to what the caller has.
    for behavior, runs in (("restart", 2), ("unnumbered", 1)):
        status, body, _ = fleet.call("resume", behavior, attempt=behavior)
        assert status == 0 and body.count(b"data: p1\n") == 1, (behavior, body)
        assert len(Target.runs[behavior]) == runs, behavior


CHECKS = {"ends": check_ends, "resumed": check_resumed}


run_checks(sys.argv[1], [CHECKS[sys.argv[2]]])
