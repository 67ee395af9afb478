"""Streams that go on within an answer at a target with other weights than those
of the events that the caller has."""
import sys

from relay_fleet import run_checks
from relay_order_cases import Run, events, joined, play

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


CHECKS = [check_goes_back_within_an_answer, check_goes_back_after_a_change,
          check_same_weights, check_newer_weights,
          check_change_before_the_break, check_change_that_was_lost,
          check_unstated]
if __name__ == "__main__":
    run_checks(sys.argv[1], CHECKS, retry_extra=4000)
