"""Answers of faulty targets through an entry and an agent: heads that end early,
and second copies of refusals on connections that are kept open."""
import json
import socket
import sys
import time

from entry_process import call, read_request, run_check

HEAD = (b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        b"X-Boot-Id: b1\r\nContent-Length: 2\r\n\r\n")
REFUSAL = b"HTTP/1.1 503 Busy\r\nX-Boot-Id: b1\r\nContent-Length: 0\r\n\r\n"
runs = []  # contents of the requests that a target ran


def serve(conn):
    """The content of a request selects what its target does."""
    refuse_next = b""
    with conn:
        while True:
            data = conn.recv(65536, socket.MSG_PEEK)
            if not data:
                return
            request = read_request(conn)
            if data.startswith(b"GET"):
                conn.sendall(HEAD + b"ok")
                continue
            content = json.loads(request)["messages"][0]["content"]
            if refuse_next:
                conn.sendall(refuse_next)  # a late copy
                refuse_next = b""
            what, _, size = content.partition(" ")
            if what == "head":
                conn.sendall(HEAD[:min(int(size), len(HEAD) - 1)])
                return
            if what == "refuse":
                conn.sendall(REFUSAL)
                refuse_next = REFUSAL
                continue
            runs.append(content)
            conn.sendall(HEAD + b"ok")


def check_heads(port):
    """A head that ends early is no answer, wherever it ends."""
    for size in (0, 1, 8, 12, 15, 16, 17, 18, 19, 30, 49, 50, 51, 60, 999):
        status, body, whole = call(port, "head %d" % size)
        assert status != 200 or not whole, (size, status, body)
        time.sleep(0.1)


def check_refusal_copies(port):
    """The refusal of one request is not taken for the answer to the next."""
    for n in range(10):
        call(port, "refuse %d" % n)
        content = "ask %d" % n
        end = time.time() + 10
        result = call(port, content)
        while result[0] != 200 and time.time() < end:
            assert content not in runs, (content, result)
            time.sleep(0.05)
            result = call(port, content)
        assert result == (200, b"ok", True), result
        assert runs.count(content) == 1, (content, runs.count(content))


def check(port):
    check_refusal_copies(port)
    check_heads(port)
    print("entry_false_answers ok")


run_check(sys.argv[1], serve, "start", check)
