"""Request bodies in chunks, through an entry: a whole one runs once, also on a kept
connection; one without its last chunk is not run, and a caller that can still
read gets 400 with run not-run.

usage: entry_cut_bodies.py BUILD"""
import http.client
import json
import socket
import struct
import sys
import time

import entry_process

PATH = "/services/bookings-app/order"
HEAD = ("POST " + PATH + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
        + entry_process.KEY + "\r\n%s\r\n")
CHUNKED = (HEAD % "Transfer-Encoding: chunked\r\n").encode()
seen = []  # bodies that the target got


def serve(conn):
    body = entry_process.read_request(conn)
    if body:
        seen.append(body)
    conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    conn.close()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def read_answer(stream):
    """(status, body); status 0 without an answer"""
    line = stream.readline()
    if not line:
        return 0, b""
    fields = http.client.parse_headers(stream)
    if fields["Transfer-Encoding"] != "chunked":
        return int(line.split()[1]), stream.read(int(fields["Content-Length"]))
    body = b""
    while size := int(stream.readline(), 16):
        body += stream.read(size)
        stream.readline()
    stream.readline()
    return int(line.split()[1]), body


def exchange(listen, parts, answers=1, leave=None):
    """Sends @parts, 0.1 s apart; the answers."""
    with socket.create_connection(("127.0.0.1", listen), timeout=10) as conn:
        for n, part in enumerate(parts):
            time.sleep(0.1 if n else 0)
            conn.sendall(part)
        if leave == "half":
            conn.shutdown(socket.SHUT_WR)
        elif leave == "reset":
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
        if leave in ("close", "reset"):
            return []
        stream = conn.makefile("rb")
        return [read_answer(stream) for _ in range(answers)]


def is_refusal(answer):
    return answer[0] == 400 and json.loads(answer[1])["run"] == "not-run"


def check_whole(listen):
    last = b"0\r\n\r\n"
    one = CHUNKED + chunk(b"ten ") + chunk(b"apples") + last
    two = CHUNKED + chunk(b"two pears") + last
    with_length = (HEAD % "Content-Length: 9\r\n").encode() + b"six plums"
    for name, parts, bodies, leave in (
            ("at once", [one], [b"ten apples"], None),
            ("in parts", [CHUNKED, chunk(b"ten "), b"6\r\nap", b"ples\r\n",
                          b"0\r\n", b"\r\n"], [b"ten apples"], None),
            ("last chunk late", [one[:-5], last], [b"ten apples"], None),
            ("large", [CHUNKED + 9 * chunk(b"x" * 70001) + last],
             [9 * b"x" * 70001], None),
            ("kept", [one, two, with_length],
             [b"ten apples", b"two pears", b"six plums"], None),
            ("in a row", [one + two + with_length],
             [b"ten apples", b"two pears", b"six plums"], None),
            ("with a length", [with_length], [b"six plums"], None),
            ("with a length, half-closed", [with_length], [b"six plums"],
             "half")):
        del seen[:]
        got = exchange(listen, parts, len(bodies), leave)
        assert got == [(200, b"ok")] * len(bodies), (name, got)
        time.sleep(0.3)
        assert seen == bodies, (name, [body[:50] for body in seen])


def check_whole_half_closed(listen):
    """It cannot be told from a cut one. What the answer says is true."""
    for _ in range(5):
        del seen[:]
        got = exchange(listen, [CHUNKED + chunk(b"ten apples") + b"0\r\n\r\n"],
                       leave="half")
        time.sleep(0.1)
        if is_refusal(got[0]):
            assert not seen, (got, seen)
        else:
            assert got == [(200, b"ok")] and seen == [b"ten apples"], (got, seen)


def check_cut(listen):
    whole = CHUNKED + chunk(b"two pears") + b"0\r\n\r\n"
    for name, parts in (
            ("no chunk", [CHUNKED]),
            ("within a size", [CHUNKED + chunk(b"ten apples") + b"1"]),
            ("within a chunk", [CHUNKED + b"1e\r\nten apples"]),
            ("before a chunk's end", [CHUNKED + b"a\r\nten apples"]),
            ("between chunks", [CHUNKED + chunk(b"ten apples")]),
            ("between chunks, in parts", [CHUNKED, chunk(b"ten apples")])):
        for before in ([], [whole]):
            for leave in ("half", "close", "reset"):
                del seen[:]
                got = exchange(listen, before + parts, 1 + len(before), leave)
                time.sleep(0.3)
                assert b"two pears" not in seen or before, (name, leave, seen)
                left = [body for body in seen if body != b"two pears"]
                assert not left, (name, leave, before, left, got)
                if leave == "half" and before:
                    assert got[0] == (200, b"ok"), (name, got)
                # Within a line or a chunk libsoup ends the connection itself.
                if leave == "half" and not name.startswith("within"):
                    assert is_refusal(got[-1]), (name, before, got)
                elif leave == "half":
                    assert got[-1][0] == 0 or is_refusal(got[-1]), (name, got)


def check(listen):
    failed = []
    for part in (check_whole, check_whole_half_closed, check_cut):
        try:
            part(listen)
            print(part.__name__, "ok")
        except AssertionError as error:
            failed.append((part.__name__, error))
    assert not failed, failed


entry_process.run_check(sys.argv[1], serve, "whole", check,
                        "[agent bookings-2]\nservice=bookings-app\n"
                        "target=127.0.0.1:%d\n")
