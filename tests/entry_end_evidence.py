"""Answers through an entry and an agent that have neither a length nor chunks, of a
target that ends and returns at once at its address while the process with the agent
stands still, or while its caller reads slowly: no caller gets a cut answer as
complete."""
import http.client
import json
import os
import signal
import socket
import sys
import tempfile
import threading
import time

import entry_process
from free_port import free_port

RESTART_S = 0.03
STALL_S = 0.15
LARGE = 40 * 2**20


class Target:
    def __init__(self):
        self.port = free_port()
        self.connections, self.process, self.stalled = set(), None, None
        self.check_after = 0
        self.listen()

    def listen(self):
        self.server = socket.create_server(("127.0.0.1", self.port))
        threading.Thread(target=self.accept, args=(self.server,),
                         daemon=True).start()

    def accept(self, server):
        while True:
            try:
                conn, _ = server.accept()
            except OSError:
                return
            self.connections.add(conn)
            threading.Thread(target=self.serve, args=(conn,),
                             daemon=True).start()

    def restart(self):
        """All connections close; another process listens RESTART_S later."""
        self.server.shutdown(socket.SHUT_RDWR)
        self.server.close()
        old, self.connections = self.connections, set()
        for conn in old:
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        time.sleep(RESTART_S)
        self.listen()

    def serve(self, conn):
        try:
            self.answer(conn, entry_process.read_request(conn))
        except OSError:
            pass
        conn.close()

    def answer(self, conn, request):
        if b"stream" not in request:  # a health check
            time.sleep(self.check_after)
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
            return
        conn.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
        if b"stall" in request:
            conn.sendall(b"p" * 1000)
            time.sleep(0.05)
            self.process.send_signal(signal.SIGSTOP)
            began = time.time()
            self.restart()
            time.sleep(max(0, began + STALL_S - time.time()))
            self.process.send_signal(signal.SIGCONT)
        elif b"unread" in request:
            self.fill(conn)
            self.restart()
            time.sleep(0.5)
            self.stalled.set()
            time.sleep(5)
        else:
            conn.sendall(b"p" * 2000)
            time.sleep(0.05)
            if b"busy" in request:
                self.check_after = 3

    def fill(self, conn):
        conn.setblocking(False)
        sent, last = 0, time.time()
        while time.time() < last + 0.5 and sent < LARGE:
            try:
                sent += conn.send(b"c" * 65536)
                last = time.time()
            except BlockingIOError:
                time.sleep(0.01)
        assert sent < LARGE


def check_stall(target, listen):
    complete = [entry_process.call(listen, "stall %d" % n, True)
                for n in range(5)]
    complete = [(status, len(body)) for status, body, whole in complete
                if status == 200 and whole]
    assert not complete, complete


def check_slow_caller(target, listen):
    complete = []
    for n in range(3):
        target.stalled = threading.Event()
        conn = http.client.HTTPConnection("127.0.0.1", listen, timeout=15)
        conn.request("POST", "/v1/chat/completions", json.dumps(
            {"model": "drape-model", "max_tokens": 4, "stream": True,
             "messages": [{"role": "user", "content": "unread %d" % n}]}),
            {"Authorization": "Bearer " + entry_process.KEY})
        target.stalled.wait(10)
        size = 0
        try:
            answer = conn.getresponse()
            while more := answer.read1(65536):
                size += len(more)
            complete.append((answer.status, size))
        except (OSError, http.client.HTTPException):
            pass
        conn.close()
    assert not complete, complete


def check_call_ends_while_its_end_is_checked(target, listen):
    for n in range(3):
        entry_process.request(listen, "POST", "/v1/chat/completions", json.dumps(
            {"model": "drape-model", "max_tokens": 4, "stream": True,
             "messages": [{"role": "user", "content": "busy %d" % n}]}),
            leave_after=b"p" * 2000)
        time.sleep(0.3)
        assert target.process.poll() is None, target.process.poll()
    target.check_after = 0
    time.sleep(1.2)


def main(build, names):
    target, listen = Target(), free_port()
    with tempfile.TemporaryDirectory(prefix="qg-end-") as folder:
        target.process = entry_process.start(build, folder, target.port, listen,
                                             "# target %d\n")
        try:
            end = time.time() + 20
            while entry_process.call(listen, "whole", True)[0] != 200:
                assert time.time() < end
                time.sleep(0.2)
            for check in (check_call_ends_while_its_end_is_checked, check_stall,
                          check_slow_caller):
                if not names or check.__name__ in names:
                    check(target, listen)
                    print(check.__name__, "ok")
        except BaseException:
            with open(os.path.join(folder, "log")) as log:
                print(log.read()[-2000:])
            raise
        finally:
            target.process.kill()
            target.process.wait()


main(sys.argv[1], sys.argv[2:])
