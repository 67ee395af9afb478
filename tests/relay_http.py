"""Answers that have no body whatever their headers say, absolute URLs, and peers
that pause while they read."""
import socket
import sys
import threading
import time

from relay_fleet import KEY, Target, run_checks

PAUSE_S = 1.9  # callers give a stream up after a gap of 2 s
ANSWER_BYTES, WINDOW_BYTES = 4800, 2304
BODY_BYTES = 90000
IDLE_S = 2  # after which relays reuse no connection to a target


class Caller:
    def __init__(self, fleet, window=None):
        self.fleet, self.data = fleet, b""
        self.conn = socket.socket()
        if window:
            self.conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.conn.settimeout(6)
        self.conn.connect(("127.0.0.5", fleet.port + 2))

    def send(self, method, url, attempt, behavior, host="h.example", more=""):
        self.conn.sendall((
            "%s %s HTTP/1.1\r\nHost: %s\r\nX-Quetzalgate-Attempt-Id: %s\r\n"
            "X-Quetzalgate-Deadline-Ms: 3900\r\nX-Quetzalgate-Key: %s\r\n"
            "X-Do: %s\r\n%sContent-Length: 0\r\n\r\n"
            % (method, url, host, attempt, KEY, behavior, more)).encode())

    def head(self):
        while b"\r\n\r\n" not in self.data:
            more = self.conn.recv(65536)
            assert more, self.data
            self.data += more
        head, self.data = self.data.split(b"\r\n\r\n", 1)
        return head.decode()

    def body(self, size):
        while len(self.data) < size:
            more = self.conn.recv(65536)
            assert more, (len(self.data), size)
            self.data += more
        body, self.data = self.data[:size], self.data[size:]
        return body

    def plain_answer(self, attempt):
        """The next request on the connection gets its own answer."""
        self.send("POST", "/safe/x", attempt, "ok")
        head = self.head()
        text = ("answer to " + attempt).encode()
        assert head.startswith("HTTP/1.1 200 "), head
        assert self.body(len(text)) == text


def check_no_body(fleet):
    for n, (method, behavior, status) in enumerate((
            ("HEAD", "nobody-200-chunked", 200),
            ("HEAD", "nobody-200-length", 200),
            ("HEAD", "nobody-200-none", 200),
            ("HEAD", "nobody-404-chunked", 404),
            ("GET", "nobody-204-none", 204),
            ("GET", "nobody-204-length", 204),
            ("GET", "nobody-304-length", 304),
            ("GET", "nobody-304-none", 304),
            ("GET", "nobody-304-chunked", 304))):
        for route in ("safe", "streaming"):
            caller = Caller(fleet)
            attempt = "nobody%d-%s" % (n, route)
            began = time.time()
            caller.send(method, "/%s/x" % route, attempt, behavior)
            head = caller.head()
            assert int(head.split()[1]) == status, (method, behavior, head)
            assert time.time() - began < 1, (method, behavior)
            assert status != 204 or "Content-Length" not in head, head
            caller.plain_answer("next%d-%s" % (n, route))


def check_absolute_url(fleet):
    for n, (url, path) in enumerate((
            ("http://h.example/safe/x?y=1", "ok"),
            ("HTTP://H.example:80/safe/x", "ok"))):
        caller = Caller(fleet)
        caller.send("POST", url, "abs%d" % n, "ok", host="other.example")
        assert caller.head().startswith("HTTP/1.1 200 "), url
        run = Target.runs["abs%d" % n][0]
        assert run[1]["Host"] in url, run[1]["Host"]
    for url in ("http://u@h.example/safe/x", "ftp://h.example/safe/x", "*"):
        caller = Caller(fleet)
        caller.send("POST", url, "bad", "ok")
        assert caller.head().startswith("HTTP/1.1 400 "), url
    caller = Caller(fleet)
    caller.send("POST", "http://other.example/safe/x", "elsewhere", "ok")
    assert caller.head().startswith("HTTP/1.1 404 ")


def check_slow_caller(fleet):
    """A caller with a small window pauses within an answer."""
    def call(n):
        caller = Caller(fleet, WINDOW_BYTES)
        caller.plain_answer("first%d" % n)
        caller.send("POST", "/unsafe/x", "slow%d" % n, "long-%d" % ANSWER_BYTES)
        caller.data = caller.conn.recv(1024)
        time.sleep(PAUSE_S)
        caller.head()
        assert len(caller.body(ANSWER_BYTES)) == ANSWER_BYTES
        done.append(n)

    done = []
    threads = [threading.Thread(target=call, args=(n,)) for n in range(6)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(done) == list(range(6)), done


def check_slow_target(fleet):
    """A target begins late to read a body that does not fit into its window."""
    for target in fleet.targets:
        target.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF,
                                 WINDOW_BYTES)
    time.sleep(IDLE_S)
    for n in range(3):
        status, body, _ = fleet.call(
            "unsafe", attempt="late%d" % n, body="b" * BODY_BYTES,
            timeout_ms=3900, headers={"X-Read-After": str(PAUSE_S)})
        assert (status, body) == (200, b"answer to late%d" % n), (status, body)
    assert {len(Target.runs["late%d" % n][0][2]) for n in range(3)} == {
        BODY_BYTES}


run_checks(sys.argv[1], [check_no_body, check_absolute_url, check_slow_caller,
                         check_slow_target])
