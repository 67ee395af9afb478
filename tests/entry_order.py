"""Targets that do not keep the order of their events, through an entry and an
agent in one process: no caller gets an event twice, or a stream with an event
missing as complete, and a stream that is in order passes unchanged. Resends
under an Idempotency-Key get the rest of the stored answer; other requests that go
on after an event never run, as the run may be of another version."""
import json
import re
import sys
import time

from entry_process import call, request, run_check
from relay_order import TIMES, WRONG_FIRST_RUNS, WRONG_RUNS, events

GOOD_RUNS = {"3": "4.5.6", "4": "7.9.20", "6": "7", "7": ""}
# Nobody asked to go on, or after an event without a number.
FREE_RUNS = ["1.2.3.4.5.6", "10.20.30", "5.7.8", "-.-.-", "1.-.2.-", "a1.b7.a1",
             "x", "0.1.2", "1", "010.011.012", "9.a.b.10"]
HOWS = ["ids", "burst", "bytes", "split"]
PAUSE_S = 0.1
PAGE = b"<p>4 5 6</p>\n"
PATH = "/services/bookings-app/"
BIG_BYTES = 400 * 1024  # more than an agent sends without a confirmation

# A second agent: a resend reaches the holder of the answer or the other one.
SECOND = "\n[agent bookings-2]\nservice=bookings-app\ntarget=127.0.0.1:%d\n"

runs = {}  # name of the check to the Last-Event-Id headers of its runs
abandoned = []  # name of the check of each run that was cancelled


def big(number):
    return b"id: %d\ndata: %s\n\n" % (number, b"%d" % number * BIG_BYTES)


def read_head(conn):
    data = b""
    while b"\r\n\r\n" not in data:
        more = conn.recv(65536)
        if not more:
            return "", {}, b""
        data += more
    head, body = data.split(b"\r\n\r\n", 1)
    fields = dict(re.findall(r"([^:\r\n]+): ([^\r\n]*)",
                             head.decode().split("\r\n", 1)[1].lower()))
    while len(body) < int(fields.get("content-length", "0")):
        body += conn.recv(65536)
    return head.decode().split("\r\n", 1)[0], fields, body


def send_chunk(conn, data):
    if data:
        conn.sendall(b"%x\r\n%s\r\n" % (len(data), data))


def send_pieces(conn, how, ids):
    numbers = [n for n in ids.split(".") if n]
    whole = events(*numbers)
    if how == "burst":
        send_chunk(conn, whole)
    elif how == "bytes":
        for byte in whole:
            send_chunk(conn, bytes([byte]))
    elif how == "split":
        for i in range(0, len(whole), 7):
            send_chunk(conn, whole[i:i + 7])
            time.sleep(0.002)
    elif how == "big":
        for n in numbers:
            send_chunk(conn, big(int(n)))
    else:
        for n in numbers:
            send_chunk(conn, events(n))
            time.sleep(PAUSE_S if how == "slow" else 0.005)


def serve(conn):
    try:
        with conn:
            line, fields, body = read_head(conn)
            text = line + body.decode()
            found = re.search(r"do=(\w+)_([\w.-]*)_([\w-]+)", text)
            if found is None:
                conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
                return
            how, ids, name = found.groups()
            runs.setdefault(name, []).append(fields.get("last-event-id"))
            answer(conn, how, ids, name)
    except OSError:
        pass


def answer(conn, how, ids, name):
    if how in ("page", "missing"):
        conn.sendall(b"HTTP/1.1 %s\r\nContent-Type: text/html\r\n"
                     b"Content-Length: %d\r\n\r\n%s" % (
                         b"200 OK" if how == "page" else b"404 Not Found",
                         len(PAGE), PAGE))
        return
    if how == "nothing":
        conn.sendall(b"HTTP/1.1 204 No Content\r\n\r\n")
        return
    if how == "double":  # without a length, and once more
        conn.sendall((b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                      b"\r\n" + events(*ids.split("."))) * 2)
        return
    packed = b"Content-Encoding: gzip\r\n" if how == "packed" else b""
    conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                 b"Connection: close\r\n" + packed
                 + b"Content-Type: text/event-stream; charset=utf-8\r\n\r\n")
    if how == "endless":
        send_chunk(conn, events(1))
        for _ in range(200):
            send_chunk(conn, b"data: " + b"e" * 65536 + b"\n")
    send_pieces(conn, how, ids)
    if how == "stays":
        conn.settimeout(5)
        if conn.recv(1) == b"":
            abandoned.append(name)
        return
    conn.sendall(b"0\r\n\r\n")


def ask_plain(port, do, headers=None, method="GET", **more):
    return request(port, method, PATH + "x?do=" + do, headers=headers, **more)


def ask_chat(port, do, headers=None):
    return call(port, "do=" + do, stream=True, headers=headers)


def after(number, key=None):
    headers = {"Last-Event-Id": str(number)}
    if key is not None:
        headers["Idempotency-Key"] = key
    return headers


def is_cut(result, whole):
    """Whether the answer has no proper end, and its events are in order."""
    return not result[2] and result[0] in (0, 200) and whole.startswith(result[1])


def check_second_copy(port):
    """A second copy behind an answer without a length does not belong to it."""
    for ask in (ask_plain, ask_chat):
        for ids in ("1.2.3", "-.-.-"):
            whole = events(*ids.split("."))
            result = ask(port, "double_%s_copy" % ids)
            assert is_cut(result, whole), (ids, result)


def is_refused(result, name):
    """Whether a request that goes on after an event was refused, unrun."""
    if result[0] != 503 or not result[2] or name in runs:
        return False
    problem = json.loads(result[1])
    return ((problem["run"], problem["kind"]) == ("not-run", "no-stream")
            and "begin it anew" in problem["detail"])


def check_caller_asks(port):
    """However the target would go on."""
    for ask in (ask_plain, ask_chat):
        for wrong, ids in WRONG_RUNS.items():
            for how in HOWS:
                name = "asks-%s-%s-%s" % (ask.__name__[4:], how, wrong.replace(" ", "-"))
                result = ask(port, "%s_%s_%s" % (how, ids, name), after(3))
                assert is_refused(result, name), (name, result)
        for asked, ids in GOOD_RUNS.items():
            for how in HOWS:
                result = ask(port, "%s_%s_good" % (how, ids), after(asked))
                assert is_refused(result, "good"), (asked, ids, how, result)


def check_no_stream(port):
    """What the answer would be is not known before it runs."""
    for do in ("page", "missing", "nothing"):
        for asked in (3, "p-3", 0):
            result = ask_plain(port, do + "__unrun", after(asked))
            assert is_refused(result, "unrun"), (do, asked, result)
    # An empty id states that the caller has no event.
    for headers in (None, after("")):
        for do, wanted in (("page", 200), ("missing", 404)):
            result = ask_plain(port, do + "__page", headers)
            assert result == (wanted, PAGE, True), (do, headers, result)
        # A 204 has no body, and so no framing.
        result = ask_plain(port, "nothing__page", headers)
        assert result[:2] == (204, b""), result


def check_nobody_asks(port):
    whole = events(1, 2, 3, 4, 5, 6)
    for ask in (ask_plain, ask_chat):
        for wrong, ids in WRONG_FIRST_RUNS.items():
            for how in HOWS:
                result = ask(port, "%s_%s_first" % (how, ids))
                assert is_cut(result, whole), (ask.__name__, wrong, how, result)


def check_unchanged(port):
    for ask in (ask_plain, ask_chat):
        for ids in FREE_RUNS:
            for how in HOWS:
                result = ask(port, "%s_%s_free" % (how, ids))
                wanted = (200, events(*ids.split(".")), True)
                assert result == wanted, (ask.__name__, ids, how, result)


def check_opaque(port):
    """An id that is no number may be one of another version as well."""
    for n, value in enumerate(("p-3", "3x", "3, 5", "9" * 30, "-1")):
        for ids in ("b4.b5.b6", "4.5.6", "-.-", "1.2.2"):
            name = "opaque-%d" % n
            result = ask_plain(port, "burst_%s_%s" % (ids, name), after(value))
            assert is_refused(result, name), (value, result)


def check_packed(port):
    """A stream that can't be read is not held back."""
    result = ask_plain(port, "packed_1.2.2_packed")
    assert result == (200, events(1, 2, 2), True), result


def check_cancelled(port):
    """A run that is stopped is cancelled, and counts as no crash: it may run as
    often as callers ask."""
    for i in range(8):
        result = ask_plain(port, "stays_1.1_stays")
        assert is_cut(result, events(1)), result
        end = time.time() + 3
        while abandoned.count("stays") <= i and time.time() < end:
            time.sleep(0.01)
        assert abandoned.count("stays") == i + 1
    assert len(runs["stays"]) == 8


def check_sizes(port):
    """Large events pass, though an agent sends only part of one before it is
    confirmed; an event without end is not collected without end."""
    result = ask_plain(port, "big_4.5.6_large")
    assert result == (200, big(4) + big(5) + big(6), True), (
        result[0], len(result[1]), result[2])
    result = ask_plain(port, "endless__endless")
    assert is_cut(result, events(1)), (result[0], result[1][:80], result[2])


def resend(port, do, key, number, wanted):
    result = ask_plain(port, do, after(number, key), "POST")
    assert result == (200, wanted, True), (do, key, number, result[0],
                                           result[1][:200], result[2])


def check_resend(port):
    """While the first run still runs, and after it ended."""
    for how in ("slow", "burst"):
        name = "resend-" + how
        do = "%s_1.2.3.4.5.6_%s" % (how, name)
        first = ask_plain(port, do, {"Idempotency-Key": name}, "POST",
                          leave_after=events(1, 2, 3))
        assert first[1].startswith(events(1, 2, 3)), first
        for _ in range(TIMES):
            resend(port, do, name, 3, events(4, 5, 6))
        resend(port, do, name, 1, events(2, 3, 4, 5, 6))
        resend(port, do, name, 6, b"")
        resend(port, do, name, 0, events(1, 2, 3, 4, 5, 6))
        result = ask_plain(port, do, {"Idempotency-Key": name}, "POST")
        assert result == (200, events(1, 2, 3, 4, 5, 6), True), result
        result = ask_plain(port, do, after("p3", name), "POST")
        assert result[0] == 409, result
        assert runs[name] == [None], runs[name]


def check_resend_twice(port):
    """A key without a stored answer does not begin one after an event; it can
    begin the stream anew, and then goes on in that run only."""
    for ids, asked in (("4.5.6", 3), ("4.5.6", 5), ("p4.p5", "p3")):
        name = "twice-%s" % asked
        do = "ids_%s_%s" % (ids, name)
        for _ in range(TIMES):
            result = ask_plain(port, do, after(asked, name), "POST")
            assert is_refused(result, name), (asked, result)
        whole = events(*ids.split("."))
        for _ in range(2):
            result = ask_plain(port, do, {"Idempotency-Key": name}, "POST")
            assert result == (200, whole, True), (asked, result)
        if asked == 5:
            resend(port, do, name, 5, events(6))
        if asked == "p3":
            result = ask_plain(port, do, after(asked, name), "POST")
            assert result[0] == 409, result
        assert runs[name] == [None], (name, runs[name])


def check_resend_wrong(port):
    """A stored answer that is not in order, and one without numbers."""
    for n, (ids, whole) in enumerate((("1.2.3.3.4", events(3)),
                                      ("1.2.1.2.3.4", b""),
                                      ("1.2.3.2.3.4", events(3)),
                                      ("-.-.-", b""))):
        name = "wrong-%d" % n
        do = "ids_%s_%s" % (ids, name)
        ask_plain(port, do, {"Idempotency-Key": name}, "POST")
        result = ask_plain(port, do, after(2, name), "POST")
        assert is_cut(result, whole), (ids, result)
        assert runs[name] == [None]


def check_resend_big(port):
    """The skipped part is larger than what an agent sends without a
    confirmation."""
    do = "big_1.2.3.4_big"
    first = ask_plain(port, do, {"Idempotency-Key": "big"}, "POST",
                      leave_after=big(1))
    assert first[1].startswith(big(1))
    for number in (3, 1):
        resend(port, do, "big", number,
               b"".join(big(n) for n in range(number + 1, 5)))
    assert runs["big"] == [None]


CHECKS = [check_caller_asks, check_second_copy, check_no_stream,
          check_nobody_asks, check_unchanged, check_opaque, check_packed,
          check_cancelled, check_sizes, check_resend,
          check_resend_twice, check_resend_wrong, check_resend_big]


def check(port):
    # A plain service that has just started has one slot.
    ask_plain(port, "ids_1_begin")
    failed = []
    for one in CHECKS:
        try:
            one(port)
        except AssertionError as error:
            failed.append(one.__name__)
            print("%s: %s" % (one.__name__, str(error)[:400]))
    assert not failed, failed
    print("entry_order ok")


if __name__ == "__main__":
    run_check(sys.argv[1], serve, "first", check, SECOND)
