"""Requests through an entry whose body ends early: less than its Content-Length, or
without the last chunk. No target gets such a body as a whole one. And answers that
are broken off, to a caller that speaks HTTP/1.0: an orderly close would be their
end."""
import socket
import sys
import time

import entry_process

HEAD = ("%s %s HTTP/1.%d\r\nHost: x\r\nAuthorization: Bearer "
        + entry_process.KEY + "\r\n%s\r\n")
seen = []  # bodies that the target got


def serve(conn):
    body = entry_process.read_request(conn)
    if not body:  # a health check
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    else:
        seen.append(body)
        size = 9 if b"short" in body else 5
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nwhole" % size)
        time.sleep(0.1)
    conn.close()


def send(listen, data, leave):
    """(answer, whether its connection was closed in order)"""
    with socket.create_connection(("127.0.0.1", listen), timeout=5) as conn:
        conn.sendall(data)
        if leave == "half":
            conn.shutdown(socket.SHUT_WR)
        elif leave == "close":
            return b"", False
        answer = b""
        try:
            while more := conn.recv(65536):
                answer += more
        except OSError:
            return answer, False
        return answer, True


def check_bodies(listen):
    cut = []
    for name, fields, body in (
            ("length", "Content-Length: 30\r\n", b"ten apples"),
            ("chunked", "Transfer-Encoding: chunked\r\n",
             b"a\r\nten apples\r\n"),
            ("within", "Transfer-Encoding: chunked\r\n",
             b"1e\r\nten apples")):
        for leave in ("half", "close"):
            del seen[:]
            head = HEAD % ("POST", "/services/bookings-app/order", 1, fields)
            got = send(listen, head.encode() + body, leave)
            time.sleep(0.3)
            if seen:
                cut.append((name, leave, seen[:], got[0][:15]))
    assert not cut, cut


def check_old_callers(listen):
    head = HEAD % ("POST", "/services/bookings-app/order", 0,
                   "Content-Length: 5\r\n")
    whole = send(listen, head.encode() + b"whole", None)
    assert whole[0].endswith(b"\r\n\r\nwhole") and whole[1], whole
    answer, in_order = send(listen, head.encode() + b"short", None)
    assert not answer.startswith(b"HTTP/1.0 200") or not in_order \
        or b"Content-Length: 9\r\n" in answer, answer


def check(listen):
    failed = []
    for part in (check_bodies, check_old_callers):
        try:
            part(listen)
            print(part.__name__, "ok")
        except AssertionError as error:
            failed.append((part.__name__, error))
    assert not failed, failed


entry_process.run_check(sys.argv[1], serve, "whole", check,
                        "[agent bookings-2]\nservice=bookings-app\n"
                        "target=127.0.0.1:%d\n")
