"""Streams that go on within an answer at a target with other weights than those
of the events that the caller has."""
import sys
import time

from relay_fleet import Target, run_checks
from relay_order_cases import Run, events, joined, play

EXPECT = "X-Quetzalgate-Expect-Version"
LINE = "X-Quetzalgate-Weight-Versions: %d\r\n"


def check_goes_back_within_an_answer(fleet):
    got = play(fleet, "back", Run(*events(1, 2, 3), b"id: 4", end="cut",
                                  extra=LINE % 8),
               Run(*events(4, 5, 6), extra=LINE % 7))
    assert got == (0, joined(1, 2, 3)), got


def check_goes_back_after_a_change(fleet):
    """The weights changed within the first run."""
    changed = b"x-quetzalgate-weight-versions: 9\nid: 3\ndata: p3\n\n"
    got = play(fleet, "change", Run(*events(1, 2), changed, b"id: 4", end="cut",
                                    extra=LINE % 8),
               Run(*events(4, 5, 6), extra=LINE % 8))
    assert got == (0, joined(1, 2) + changed), got


def check_same_weights(fleet):
    got = play(fleet, "same", Run(*events(1, 2, 3), b"id: 4", end="cut",
                                  extra=LINE % 8),
               Run(*events(4, 5, 6), extra=LINE % 8))
    assert got == (200, joined(1, 2, 3, 4, 5, 6)), got


def check_newer_weights(fleet):
    """The caller would not learn of them."""
    got = play(fleet, "newer", Run(*events(1, 2, 3), b"id: 4", end="cut",
                                   extra=LINE % 8),
               Run(*events(4, 5, 6), extra=LINE % 9))
    assert got == (0, joined(1, 2, 3)), got


def check_change_before_the_break(fleet):
    """The stream goes on at a target that has the weights of the last event."""
    changed = b"x-quetzalgate-weight-versions: 9\nid: 3\ndata: p3\n\n"
    got = play(fleet, "follows", Run(*events(1, 2), changed, b"id: 4",
                                     end="cut", extra=LINE % 8),
               Run(*events(4, 5, 6), extra=LINE % 9))
    assert got == (200, joined(1, 2) + changed + joined(4, 5, 6)), got


def check_change_that_was_lost(fleet):
    """The event at which the weights changed did not reach the caller."""
    changed = b"x-quetzalgate-weight-versions: 9\nid: 3\ndata: p"
    got = play(fleet, "lost", Run(*events(1, 2), changed, end="cut",
                                  extra=LINE % 8),
               Run(*events(3, 4, 5), extra=LINE % 8))
    assert got == (200, joined(1, 2, 3, 4, 5)), got


def check_unstated(fleet):
    for n, (first, second) in enumerate(((LINE % 8, ""), ("", LINE % 8),
                                         (LINE % 8, LINE.replace("%d", "x")))):
        got = play(fleet, "unstated%d" % n,
                   Run(*events(1, 2, 3), b"id: 4", end="cut", extra=first),
                   Run(*events(4, 5, 6), extra=second))
        assert got == (200, joined(1, 2, 3, 4, 5, 6)), (n, got)


def check_expected_by_the_caller(fleet):
    """The header is passed on as it is, and targets that refuse it serve on."""
    for target, weights in zip(fleet.targets, (2, 1, 1)):
        target.weights = weights
    stated = {target.id: str(target.weights) for target in fleet.targets}

    def call(name, value):
        return fleet.call("safe", attempt=name, headers={EXPECT: value})[0]

    for i, value in enumerate(("1", "2", "1", "2")):
        assert call("expects%d" % i, value) == 200
        target, headers, _, _ = Target.runs["expects%d" % i][0]
        assert (stated[target], headers[EXPECT]) == (value, value)
    for value in ("3", "one") * 5:
        assert call("unmet" + value, value) == 503
        assert "unmet" + value not in Target.runs
        began = time.time()
        assert fleet.call("safe", attempt="met")[0] == 200
        assert time.time() - began < 0.5
    for target in fleet.targets:
        target.weights = None


CHECKS = [check_goes_back_within_an_answer, check_goes_back_after_a_change,
          check_same_weights, check_newer_weights,
          check_change_before_the_break, check_change_that_was_lost,
          check_unstated, check_expected_by_the_caller]
if __name__ == "__main__":
    run_checks(sys.argv[1], CHECKS, retry_extra=4000)
