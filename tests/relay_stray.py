"""Targets that send bytes which belong to no request, or bytes without end: each
caller gets its own answer or a correct error, in time, and the relay's memory
stays bounded."""
import socket
import sys
import threading
import time

from relay_fleet import Target, run_checks

ENDLESS_BEHAVIORS = ("endless-head", "endless-interim", "endless-garbage",
                     "endless-copy")
MEMORY_GROWTH_MAX_KB = 8 * 1024


def resident_kb(fleet, name):
    with open("/proc/%d/status" % fleet.processes[name].pid) as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1])
    raise AssertionError("no VmRSS")


def check_late_copies(fleet):
    """A second copy of an answer begins while the connection is idle and ends
    after the next request, or comes whole in the same bytes as the answer."""
    for behavior in ("late-half", "copy"):
        for n in range(30):
            attempt = "%s-%d" % (behavior, n)
            status, body, _ = fleet.call("safe", behavior, attempt=attempt)
            assert (status, body) == (200, b"answer to " + attempt.encode()), (
                attempt, status, body)
            time.sleep(0.01)


def check_endless_bytes(fleet):
    """The relay gives up such a target soon, and sends the request to another
    one, where that is allowed."""
    for behavior in ENDLESS_BEHAVIORS:
        began = time.time()
        status, body, _ = fleet.call("safe", behavior, attempt=behavior)
        assert (status, body) == (200, b"answer to " + behavior.encode()), (
            behavior, status, body)
        assert time.time() - began < 1.5, (behavior, time.time() - began)
        assert len(Target.runs[behavior]) == 2, behavior
        status, _, _ = fleet.call("unsafe", behavior, attempt=behavior + "-u")
        assert status == 502, (behavior, status)
        assert len(Target.runs[behavior + "-u"]) == 1, behavior


def check_endless_body(fleet):
    """An answer without end is cut at the route's timeout."""
    began = time.time()
    conn = socket.create_connection(("127.0.0.5", fleet.port + 2))
    conn.sendall(b"POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\n"
                 b"X-Do: endless-body\r\nX-Quetzalgate-Attempt-Id: eb\r\n"
                 b"X-Quetzalgate-Deadline-Ms: 1500\r\n"
                 b"X-Quetzalgate-Key: k-one\r\nContent-Length: 1\r\n\r\nx")
    size, last = 0, b""
    while True:
        more = conn.recv(1 << 20)
        if not more:
            break
        size, last = size + len(more), more
    conn.close()
    assert size > 100000 and not last.endswith(b"0\r\n\r\n"), (size, last[-9:])
    assert 1.4 < time.time() - began < 2.2, time.time() - began


def check_stalled_streams(fleet):
    """A stream that only sends comments ends at the route's timeout, a slow one
    that makes progress is not cut."""
    began = time.time()
    status, _, _ = fleet.call("streaming", "comments", attempt="comments",
                              timeout_ms=1500)
    assert status == 0 and 1.4 < time.time() - began < 2.2, (
        status, time.time() - began)
    status, body, _ = fleet.call("streaming", "trickle", attempt="trickle",
                                 timeout_ms=3900)
    assert status == 200 and body.count(b"data:") == 60, (status, len(body))


def check_memory(fleet):
    """Many endless answers at once, while other callers are served."""
    before = resident_kb(fleet, "relay-5")
    threads = [threading.Thread(target=fleet.call, args=("unsafe", behavior),
                                kwargs={"attempt": "m%d-%s" % (n, behavior),
                                        "timeout_ms": 1500})
               for behavior in ENDLESS_BEHAVIORS + ("endless-body",)
               for n in range(4)]
    for thread in threads:
        thread.start()
    for n in range(20):
        status, body, _ = fleet.call("safe", attempt="o%d" % n)
        assert (status, body) == (200, b"answer to o%d" % n), (status, body)
    growth = resident_kb(fleet, "relay-5") - before
    for thread in threads:
        thread.join()
    assert growth < MEMORY_GROWTH_MAX_KB, growth


run_checks(sys.argv[1], [check_late_copies, check_endless_bytes,
                         check_endless_body, check_stalled_streams,
                         check_memory])
