"""Requests through the relay to targets that fail: callers get complete answers
to their own requests or a correct error, requests that are not idempotent run
at most once, and streams resume."""
import glob
import socket
import subprocess
import sys
import time

from relay_fleet import Target, run_checks, wait_for


def targets_of(attempt):
    return [run[0] for run in Target.runs.get(attempt, [])]


def check_answers(fleet):
    status, body, headers = fleet.call("safe", attempt="plain")
    assert (status, body) == (200, b"answer to plain"), (status, body)
    _, fields, sent, _ = Target.runs["plain"][0]
    assert sent == b"x" and fields["X-Quetzalgate-Tenant"] == "one", fields
    assert "X-Quetzalgate-Key" not in fields, fields
    assert 0 < int(fields["X-Quetzalgate-Deadline-Ms"]) <= 3000, fields
    status, body, _ = fleet.call("safe", "extra", attempt="extra")
    assert (status, body) == (200, b"answer to extra"), (status, body)
    status, body, _ = fleet.call("safe", "unframed", attempt="unframed")
    assert (status, body) == (200, b"answer to unframed"), (status, body)
    status, _, _ = fleet.call("unsafe", "error", attempt="error")
    assert status == 500 and len(targets_of("error")) == 1


def check_reserved_headers_dropped(fleet):
    fleet.call("safe", attempt="orders", headers={
        "X-Quetzalgate-Tenant": "two", "Kv-From": "1.2.3.4:5/x",
        "X-Quetzalgate-Pin-Ms": "5", "Connection": "X-Hop", "X-Hop": "1"})
    _, fields, _, _ = Target.runs["orders"][0]
    assert fields["X-Quetzalgate-Tenant"] == "one", fields
    assert not {"Kv-From", "X-Quetzalgate-Pin-Ms", "X-Hop"} & set(fields)


def check_refusals(fleet):
    assert fleet.call("safe", attempt="r1", path="/none/x")[0] == 404
    assert fleet.call("safe", attempt="r2", key="k-unknown")[0] == 401
    assert fleet.call("safe", attempt="r3", key=None)[0] == 401
    assert fleet.call("safe", attempt="r4", body="x" * 200000)[0] == 413
    for attempt in ("r1", "r2", "r3", "r4"):
        assert targets_of(attempt) == [], attempt
    status, _, headers = fleet.call("unsafe", "full", attempt="full")
    assert status == 503 and float(headers["Retry-After"]) >= 0, status
    assert targets_of("full") == []


def check_at_most_once(fleet):
    status, _, _ = fleet.call("unsafe", "reset", attempt="once")
    assert status == 502 and len(targets_of("once")) == 1, (
        status, targets_of("once"))
    status, _, _ = fleet.call("streaming", "reset", attempt="once2")
    assert status == 502 and len(targets_of("once2")) == 1
    status, body, _ = fleet.call("safe", "reset-once", attempt="again")
    assert (status, body) == (200, b"answer to again"), (status, body)
    assert len(set(targets_of("again"))) == 2, targets_of("again")


def check_broken_answers(fleet):
    status, body, _ = fleet.call("unsafe", "short", attempt="short")
    assert status == 0 and b"answer" in body, (status, body)
    status, _, _ = fleet.call("unsafe", "noseal", attempt="noseal")
    assert status == 502
    status, body, _ = fleet.call("streaming", "break", attempt="cut")
    assert status == 0 and len(targets_of("cut")) == 1, (
        status, targets_of("cut"))


def check_resumed_stream(fleet):
    status, body, headers = fleet.call("resume", "break", attempt="resume")
    whole = b"".join(b"id: %d\ndata: p%d\n\n" % (n, n) for n in range(1, 7))
    assert (status, body) == (200, whole), (status, body)
    runs = Target.runs["resume"]
    assert len(set(targets_of("resume"))) == 2
    assert runs[1][1]["Last-Event-Id"] == "2", runs[1][1]
    assert headers["X-Quetzalgate-Response-Seal"] == "s." + runs[0][0]


def check_timeout(fleet):
    began = time.time()
    status, _, _ = fleet.call("unsafe", "slow", attempt="late", timeout_ms=500)
    assert status == 504 and time.time() - began < 0.9, status


def check_caller_leaves(fleet):
    """The relay closes the target's connection soon after the caller's."""
    conn = socket.create_connection(("127.0.0.5", fleet.port + 2))
    conn.sendall(b"POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nX-Do: slow\r\n"
                 b"X-Quetzalgate-Attempt-Id: left\r\nX-Quetzalgate-Key: k-one\r\n"
                 b"Content-Length: 1\r\n\r\nx")
    wait_for("the target runs it", lambda: targets_of("left"))
    left = time.time()
    conn.close()
    wait_for("the target cancels it", lambda: "left" in Target.cancelled, 2)
    assert Target.cancelled["left"] - left < 0.5
    status, body, _ = fleet.call("safe", attempt="after")
    assert (status, body) == (200, b"answer to after"), (status, body)


def check_pipelined(fleet):
    one = (b"POST /safe/x HTTP/1.1\r\nHost: h.example\r\n"
           b"X-Quetzalgate-Attempt-Id: p%d\r\nX-Quetzalgate-Key: k-one\r\n"
           b"Content-Length: 1\r\n\r\nx")
    conn = socket.create_connection(("127.0.0.5", fleet.port + 2))
    conn.settimeout(5)
    conn.sendall(one % 1 + one % 2)
    received = b""
    while b"answer to p2" not in received:
        received += conn.recv(4096)
    assert received.index(b"answer to p1") < received.index(b"answer to p2")
    conn.close()


def check_explained(fleet):
    """`explain` shows the events that led to the outcome of an attempt."""
    logs = glob.glob(fleet.dir + "/relay-*.log")
    for attempt, names in (("full", ["CALL_SENT", "CALL_REFUSED", "run=not-run"]),
                           ("cut", ["CALL_SENT", "CALL_BROKEN"]),
                           ("once", ["CALL_SENT", "TARGET_FAILED",
                                     "CALL_REFUSED", "run=unknown"])):
        output = subprocess.run(
            [fleet.build + "/quetzalgate", "explain", attempt] + logs,
            capture_output=True, text=True, check=True).stdout
        at = -1
        for name in names:
            assert output.find(name, at + 1) > at, (attempt, name, output)
            at = output.find(name, at + 1)
    unknown = subprocess.run(
        [fleet.build + "/quetzalgate", "explain", "nobody"] + logs,
        capture_output=True, text=True)
    assert unknown.returncode != 0 and "LOG_DROPPED" in unknown.stderr


run_checks(sys.argv[1], [check_answers, check_reserved_headers_dropped,
                        check_refusals, check_at_most_once,
                        check_broken_answers, check_resumed_stream,
                        check_timeout, check_caller_leaves, check_pipelined,
                        check_explained])
