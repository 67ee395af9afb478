"""While a relay checks whether the end of an answer without a length is the
target's, the caller leaves, the deadline passes, the target is replaced, or the
relay is told to stop."""
import socket
import sys
import time

from relay_fleet import BEHAVIOR_HEADER, KEY, Target, run_checks, wait_for

SLOW_CHECK_S = 0.6


def answer_check_late(self, conn, life):
    time.sleep(SLOW_CHECK_S)
    return answer_check(self, conn, life)


answer_check = Target.answer_check
Target.answer_check = answer_check_late


def read_events(fleet, attempt, timeout_ms=3000):
    """The connection of a caller that has the last event, and not the end."""
    conn = socket.create_connection(("127.0.0.5", fleet.port + 2), 8)
    conn.sendall(("POST /streaming/x HTTP/1.1\r\nHost: h.example\r\n"
                  "X-Quetzalgate-Attempt-Id: %s\r\nX-Quetzalgate-Deadline-Ms: "
                  "%d\r\nX-Quetzalgate-Key: %s\r\n%s: stream-unframed\r\n"
                  "Content-Length: 1\r\n\r\nx" % (
                      attempt, timeout_ms, KEY, BEHAVIOR_HEADER)).encode())
    data = b""
    while b"p6\n\n" not in data:
        data += conn.recv(65536)
    return conn


def read_rest(conn):
    """What comes up to the last chunk, or to the close of the connection."""
    rest = b""
    while b"0\r\n\r\n" not in rest and (more := conn.recv(65536)):
        rest += more
    return rest


def assert_lives(fleet):
    assert fleet.processes["relay-5"].poll() is None, "the relay ended"
    assert fleet.call("safe", attempt="alive%d" % time.time_ns())[0] == 200


def check_caller_leaves(fleet):
    conn = read_events(fleet, "left")
    time.sleep(0.05)
    conn.close()
    time.sleep(0.3)
    assert_lives(fleet)


def check_deadline_passes(fleet):
    conn = read_events(fleet, "late", timeout_ms=350)
    rest = read_rest(conn)
    assert b"0\r\n\r\n" not in rest, rest
    assert_lives(fleet)


def register_again(fleet):
    """Heartbeats of another life under each target's id."""
    for target in fleet.targets:
        target.born, target.sequence = target.born + 1000, 0
        assert target.post("heartbeat")[0] == 200


def check_target_is_replaced(fleet):
    """Heartbeats of another life come meanwhile; but the process that answered
    answers its check before another one can, so the answer is whole."""
    Target.answer_check = answer_check
    conn = read_events(fleet, "replaced")
    register_again(fleet)
    rest = read_rest(conn)
    Target.answer_check = answer_check_late
    assert rest.endswith(b"0\r\n\r\n"), rest
    assert_lives(fleet)


def check_late_answer_of_another_life(fleet):
    """The check is answered so late that another life may have taken it from the
    queue of a listening socket that was kept, and another life has registered:
    the answer does not look complete."""
    conn = read_events(fleet, "taken")
    time.sleep(0.05)
    register_again(fleet)
    rest = read_rest(conn)
    assert b"0\r\n\r\n" not in rest, rest
    assert_lives(fleet)


def check_late_answer_of_the_same_life(fleet):
    """The check is answered as late, and no other life registers: the answer is
    whole."""
    conn = read_events(fleet, "slow")
    rest = read_rest(conn)
    assert rest.endswith(b"0\r\n\r\n"), rest


def check_relay_stops(fleet):
    conn = read_events(fleet, "stops")
    fleet.processes["relay-5"].terminate()
    rest = read_rest(conn)
    assert rest.endswith(b"0\r\n\r\n"), rest
    wait_for("the relay ends",
             lambda: fleet.processes["relay-5"].poll() is not None)
    assert fleet.processes["relay-5"].returncode == 0


CHECKS = [check_caller_leaves, check_deadline_passes, check_target_is_replaced,
          check_late_answer_of_another_life, check_late_answer_of_the_same_life,
          check_relay_stops]
run_checks(sys.argv[1], CHECKS if len(sys.argv) < 3 else
           [globals()["check_" + name] for name in sys.argv[2:]])
