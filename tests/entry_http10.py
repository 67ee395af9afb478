"""Callers of an entry that speak HTTP/1.0: an answer ends with its connection,
so one that is broken off has to end by a reset."""
import json
import signal
import socket
import sys
import time

from entry_process import KEY, read_request, run_check, started

FIRST = b"id: 1\ndata: {\"n\": 1}\n\n"
WHOLE = FIRST + b"id: 2\ndata: [DONE]\n\n"
HEAD = (b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n")


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def serve(conn):
    with conn:
        request = read_request(conn)
        if b"whole-unframed" in request:
            conn.sendall(HEAD.replace(b"Transfer-Encoding: chunked\r\n", b"")
                         + WHOLE)
        elif b"whole" in request:
            conn.sendall(HEAD + chunk(WHOLE) + b"0\r\n\r\n")
        elif b"cut" in request:
            conn.sendall(HEAD + chunk(FIRST))
            time.sleep(0.2)
        elif b"again" in request:
            conn.sendall(HEAD + chunk(FIRST))
            time.sleep(0.2)
            conn.sendall(chunk(FIRST) + b"0\r\n\r\n")
            time.sleep(0.2)
        elif b"lasting" in request:
            conn.sendall(HEAD + chunk(FIRST))
            time.sleep(5)
        else:
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


def ask(port, content, more=""):
    text = json.dumps({"model": "drape-model", "max_tokens": 4, "stream": True,
                       "messages": [{"role": "user", "content": content}]})
    conn = socket.create_connection(("127.0.0.1", port), 15)
    conn.sendall(("POST /v1/chat/completions HTTP/1.0\r\nHost: h\r\n%s"
                  "Authorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s"
                  % (more, KEY, len(text), text)).encode())
    return conn


def read_rest(conn, data=b""):
    """(head, body, whether the connection was reset)."""
    reset = False
    try:
        while more := conn.recv(65536):
            data += more
    except ConnectionResetError:
        reset = True
    conn.close()
    head, _, body = data.partition(b"\r\n\r\n")
    return head.lower(), body, reset


def check(port):
    for more in ("", "Connection: keep-alive\r\n"):
        for name in ("whole", "whole-unframed"):
            head, body, reset = read_rest(ask(port, name, more))
            assert b" 200 " in head and b"chunked" not in head, head
            assert (body, reset) == (WHOLE, False), (name, body, reset)
    for name in ("cut", "again"):
        head, body, reset = read_rest(ask(port, name))
        assert b" 200 " in head and body == FIRST, (name, head, body)
        assert reset, "the end of %r looks whole" % name
    conn = ask(port, "lasting")
    data = b""
    while FIRST not in data:
        data += conn.recv(65536)
    started[0].send_signal(signal.SIGKILL)
    _, body, reset = read_rest(conn, data)
    assert (body, reset) == (FIRST, True), "the entry was killed: %r" % body
    print("entry_http10 ok")


run_check(sys.argv[1], serve, "first", check)
