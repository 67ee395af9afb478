"""Targets that do not keep the order of their events, through the relay: no caller
gets an event twice, or a stream with an event missing as complete. A stream that
may be resumed goes on at another target. The argument names the checks to run."""
import re
import sys
import time

from relay_fleet import Target, event_of, run_checks

TIMES = 5
# What the first target does when the caller has 1 to 3.
WRONG_RUNS = {
    "begins again": "1.2.3.4.5.6",
    "one too early": "3.4.5.6",
    "one too late": "5.6",
    "has no ids": "-.-.-",
    "sends one twice": "4.4.5.6",
    "goes back": "4.5.4.5.6",
    "ends with an old one": "3"}
# What a first target does when nobody asked it to go on.
WRONG_FIRST_RUNS = {
    "sends one twice": "1.2.3.3.4.5.6",
    "goes back": "1.2.3.1.2.3.4.5.6",
    "goes back by one": "1.2.3.2.3.4.5.6",
    "sends the last twice": "1.2.3.4.5.6.6"}


def events(*numbers):
    return b"".join(event_of(n) for n in numbers)


def ids_of(body):
    return [int(n) for n in re.findall(rb"^id: (\d+)", body, re.M)]


def each(cases):
    for name, ids in cases.items():
        for i in range(TIMES):
            for how in ("ids", "burst"):
                yield name, "%s-%s" % (how, ids), "%s-%s-%d" % (
                    name.replace(" ", "-"), how, i)


def check_caller_asks(fleet):
    """A run that its caller asked to go on begins after the caller's event."""
    for name, behavior, attempt in each(WRONG_RUNS):
        status, body, _ = fleet.call("resume", behavior, attempt=attempt,
                                     headers={"Last-Event-Id": "3"})
        assert (status, body) == (200, events(4, 5, 6)), (name, status, body)
        assert Target.runs[attempt][0][1]["Last-Event-Id"] == "3"


def check_first_run(fleet):
    for name, behavior, attempt in each(WRONG_FIRST_RUNS):
        status, body, _ = fleet.call("resume", behavior,
                                     attempt="first-" + attempt)
        assert (status, body) == (200, events(1, 2, 3, 4, 5, 6)), (name, status,
                                                                   body)


def check_cannot_be_resumed(fleet):
    for name, behavior, attempt in each(WRONG_FIRST_RUNS):
        status, body, _ = fleet.call("streaming", behavior,
                                     attempt="plain-" + attempt)
        whole = events(1, 2, 3, 4, 5, 6)
        assert status == 0 and whole.startswith(body), (name, status, body)
        assert len(Target.runs["plain-" + attempt]) == 1


def check_all_targets(fleet):
    """No target keeps the order: the stream is broken off in order."""
    for name, ids in WRONG_RUNS.items():
        status, body, _ = fleet.call("resume", "always-" + ids,
                                     attempt="all-" + name.replace(" ", "-"),
                                     headers={"Last-Event-Id": "3"})
        assert status == 0, (name, status, body)
        assert ids_of(body) in ([], [4], [4, 5]), (name, body)
        assert not body.replace(event_of(4), b"").replace(event_of(5), b"")


def check_relay_asks(fleet):
    """The first run breaks off after 3, and the second is wrong."""
    for name, ids in WRONG_RUNS.items():
        attempt = "relay-asks-" + name.replace(" ", "-")
        status, body, _ = fleet.call("resume", "twice-%s" % ids, attempt=attempt)
        assert status == 0, (name, status, body)
        assert ids_of(body) == list(range(1, len(ids_of(body)) + 1)), (name, body)
        assert b"data: p\n" not in body, body
        assert len(Target.runs[attempt]) == 2


def check_sparse_numbers(fleet):
    """Numbers need not be consecutive."""
    status, body, _ = fleet.call("resume", "tens", attempt="tens")
    assert (status, body) == (200, events(10, 20, 30, 40, 50, 60)), body
    status, body, _ = fleet.call("resume", "ids-7.9.20", attempt="sparse",
                                 headers={"Last-Event-Id": "4"})
    assert (status, body) == (200, events(7, 9, 20)), (status, body)
    status, body, _ = fleet.call("streaming", "ids-2.7.9", attempt="sparse2")
    assert (status, body) == (200, events(2, 7, 9)), (status, body)


def check_no_stream(fleet):
    """An answer that is no stream does not go on."""
    status, body, _ = fleet.call("resume", "page", attempt="page",
                                 headers={"Last-Event-Id": "3"})
    assert (status, body) == (200, events(4, 5, 6)), (status, body)


def check_endless_event(fleet):
    """An event without end is not collected without end."""
    for route, runs in (("streaming", 1), ("resume", 2)):
        attempt = "endless-" + route
        began = time.time()
        status, body, _ = fleet.call(route, "endless-event", attempt=attempt)
        assert (status, body) == (0, b"id: 1\ndata: a\n\n"), (status, body[:80])
        assert time.time() - began < 2, time.time() - began
        assert len(Target.runs[attempt]) == runs, Target.runs[attempt]


def check_cannot_ask(fleet):
    """A request to go on that can't be met is refused, unrun."""
    for n, (route, value, wanted) in enumerate((
            ("streaming", "3", 503), ("resume", "three", 400),
            ("resume", "-1", 400), ("resume", "3, 5", 400),
            ("resume", "3x", 400), ("resume", "9" * 30, 400))):
        attempt = "ask-%d" % n
        status, body, _ = fleet.call(route, "stream", attempt=attempt,
                                     headers={"Last-Event-Id": value})
        assert status == wanted, (route, value, status, body)
        assert attempt not in Target.runs


def check_late_copy(fleet):
    """A second copy of an answer of the same attempt does not go on."""
    for i in range(TIMES):
        attempt = "copied-%d" % i
        status, _, _ = fleet.call("resume", "copied", attempt=attempt)
        assert status == 200, status
        status, body, _ = fleet.call("resume", "stream", attempt=attempt,
                                     headers={"Last-Event-Id": "3"})
        assert (status, body) == (200, events(4, 5, 6)), (status, body)


CHECKS = {
    "asked": [check_caller_asks, check_all_targets, check_no_stream,
              check_cannot_ask, check_late_copy],
    "run": [check_first_run, check_cannot_be_resumed, check_relay_asks,
            check_sparse_numbers, check_endless_event]}
if __name__ == "__main__":
    run_checks(sys.argv[1], CHECKS[sys.argv[2]], retry_extra=4000)
