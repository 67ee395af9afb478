"""Callers of a relay that speak HTTP/1.0: an answer without a length ends with
its connection, so one that is broken off has to end by a reset."""
import socket
import sys
import time

from relay_fleet import BEHAVIOR_HEADER, KEY, event_of, run_checks, wait_for

ALL = b"".join(b"id: %d\ndata: p%d\n\n" % (n, n) for n in range(1, 7))


def connect(fleet, route, behavior, attempt, relay=5, timeout_ms=3000,
            version="1.0", more=""):
    conn = socket.create_connection(("127.0.0.%d" % relay, fleet.port + 2), 8)
    conn.sendall(("POST /%s/x HTTP/%s\r\nHost: h.example\r\n"
                  "X-Quetzalgate-Attempt-Id: %s\r\nX-Quetzalgate-Deadline-Ms: "
                  "%d\r\nX-Quetzalgate-Key: %s\r\n%s: %s\r\n%s"
                  "Content-Length: 1\r\n\r\nx" % (
                      route, version, attempt, timeout_ms, KEY,
                      BEHAVIOR_HEADER, behavior, more)).encode())
    return conn


def read_rest(conn):
    """(data, whether the connection was reset)."""
    data, reset = b"", False
    try:
        while more := conn.recv(65536):
            data += more
    except ConnectionResetError:
        reset = True
    conn.close()
    return data, reset


def read_answer(conn):
    """(head, body, whether the connection was reset)."""
    data, reset = read_rest(conn)
    head, _, body = data.partition(b"\r\n\r\n")
    return head.lower(), body, reset


def ask(fleet, *args, **options):
    return read_answer(connect(fleet, *args, **options))


def check_whole_answers(fleet):
    for behavior in ("stream", "stream-unframed"):
        for more in ("", "Connection: keep-alive\r\n"):
            for route in ("streaming", "resume"):
                head, body, reset = ask(fleet, route, behavior, "whole",
                                        more=more)
                assert b" 200 " in head and b"chunked" not in head, head
                assert b"connection: close" in head, head
                assert (body, reset) == (ALL, False), (behavior, body, reset)


def check_answer_with_length(fleet):
    head, body, reset = ask(fleet, "safe", "ok", "sized")
    assert b"content-length: 15" in head, head
    assert (body, reset) == (b"answer to sized", False), (body, reset)


def check_plain_without_length(fleet):
    head, body, reset = ask(fleet, "safe", "unframed", "plain")
    assert b"chunked" not in head, head
    assert (body, reset) == (b"answer to plain", False), (body, reset)


def check_goes_on_at_another_target(fleet):
    head, body, reset = ask(fleet, "resume", "break", "goes-on")
    assert b" 200 " in head and (body, reset) == (ALL, False), (body, reset)


def check_target_breaks_off(fleet):
    for n, behavior in enumerate(("break", "break-unframed", "ids-1.2.2",
                                  "ids-1.2.3!")):
        _, body, reset = ask(fleet, "streaming", behavior, "broken%d" % n)
        assert ALL.startswith(body) and body.count(b"\n\n") == 2 + (n == 3), (
            behavior, body)
        assert reset, (behavior, body)


def check_deadline_passes(fleet):
    _, body, reset = ask(fleet, "streaming", "trickle", "late", timeout_ms=900)
    assert body.startswith(ALL) and reset, (body, reset)


def check_slow_reader(fleet):
    """What was read before the break is delivered to a caller that reads it
    later."""
    conn = connect(fleet, "streaming", "ids-1.2.3!", "slow")
    time.sleep(0.3)
    head, body, reset = read_answer(conn)
    assert b" 200 " in head, head
    assert body == b"".join(event_of(n) for n in (1, 2, 3)), body
    assert reset


def check_relay_ends(fleet):
    for how in ("drained", "killed"):
        conn = connect(fleet, "streaming", "trickle", how, relay=6,
                       timeout_ms=3900)
        data = b""
        while b"p3\n" not in data:
            data += conn.recv(65536)
        if how == "killed":
            fleet.kill("relay-6")
            body, reset = read_rest(conn)
            assert reset, "the relay was killed: %r" % body
        else:
            fleet.processes["relay-6"].terminate()
            body, reset = read_rest(conn)
            assert not reset and body.endswith(b"data: p60\n\n"), body
            fleet.processes["relay-6"].wait()
            fleet.relay(6)
            wait_for("the relay is ready again", lambda: fleet.ready(6))
            wait_for("the relay serves again", lambda: fleet.call(
                "safe", attempt="again", relay=6)[0] == 200)


def check_http11_is_not_whole(fleet):
    """Breaks are visible to callers of HTTP/1.1 by the missing last chunk."""
    head, body, _ = ask(fleet, "streaming", "ids-1.2.3!", "new", version="1.1")
    assert b"chunked" in head and b"p3\n" in body, (head, body)
    assert not body.endswith(b"0\r\n\r\n"), body


CHECKS = [check_whole_answers, check_answer_with_length,
          check_plain_without_length, check_goes_on_at_another_target,
          check_target_breaks_off, check_deadline_passes, check_slow_reader,
          check_http11_is_not_whole, check_relay_ends]
if __name__ == "__main__":
    run_checks(sys.argv[1], CHECKS if len(sys.argv) < 3 else
               [globals()["check_" + name] for name in sys.argv[2:]])
