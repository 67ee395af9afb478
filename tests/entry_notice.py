"""What a target says about itself holds for its agent: a limit of requests per
second, a pause, and that it is leaving."""
import json
import socket
import sys
import threading
import time

from entry_process import call, read_request, run_check

ANSWER = json.dumps({"choices": [{"message": {"content": "ok"}}],
                     "usage": {"total_tokens": 3}}).encode()


class State:
    says = ""  # header lines of each answer
    status = 200
    boot = "b1"
    arrivals = []


def serve(conn):
    """Answers requests; liveness checks are not counted."""
    with conn:
        data = conn.recv(65536, socket.MSG_PEEK)
        if not data:
            return
        read_request(conn)
        says, status = State.says, State.status
        if data.startswith(b"POST"):
            State.arrivals.append(time.time())
        else:
            says, status = "", 200
        conn.sendall(("HTTP/1.1 %d OK\r\nConnection: close\r\nX-Boot-Id: %s\r\n"
                      "%sContent-Type: application/json\r\n"
                      "Content-Length: %d\r\n\r\n"
                      % (status, State.boot, says, len(ANSWER))).encode()
                     + ANSWER)


class Callers:
    def __init__(self, port, n):
        self.port, self.stopped = port, threading.Event()
        self.threads = [threading.Thread(target=self.run, daemon=True)
                        for _ in range(n)]
        for thread in self.threads:
            thread.start()

    def run(self):
        while not self.stopped.is_set():
            call(self.port, "a")
            time.sleep(0.01)


def count(since, until=1e12):
    return sum(1 for at in State.arrivals if since <= at <= until)


def most_in_4s(since):
    times = [at for at in State.arrivals if at >= since]
    return max((sum(1 for t in times if start <= t < start + 4)
                for start in times), default=0)


def wait_for_rate(what, least, seconds=12):
    end = time.time() + seconds
    while count(time.time() - 1) < least:
        assert time.time() < end, (what, count(time.time() - 1))
        time.sleep(0.1)


def check(port):
    Callers(port, 12)
    wait_for_rate("the load", 30)
    State.says = "Server-Limit: 4\r\n"
    began = time.time()
    time.sleep(9)
    most = most_in_4s(began + 0.5)
    assert most <= 1.5 * 4 * 4 + 5, "%d requests in 4 s" % most
    assert count(began + 5, began + 9) >= 4 * 4 * 0.7
    State.says = ""
    wait_for_rate("the limit ends", 30)
    State.says, State.status = "Retry-After: 2\r\n", 503
    time.sleep(0.3)
    State.says, State.status = "", 200
    began = time.time()
    time.sleep(1.7)
    assert count(began + 0.2, began + 1.6) <= 2, count(began + 0.2, began + 1.6)
    wait_for_rate("the pause ends", 30)
    State.says = "Server-Leaving: 1\r\n"
    time.sleep(0.5)
    began = time.time()
    time.sleep(2)
    assert count(began) == 0, count(began)
    print("entry_notice ok")


run_check(sys.argv[1], serve, "a", check)
