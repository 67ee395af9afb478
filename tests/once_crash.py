"""Checks that an agent reports the crash of its target (event TARGET_CRASHED) although
other requests of the agent end without a broken connection: one whose answer the target
had sent before it crashed, one that waited for the claim of its key during the crash, and
one whose answer the agent does not read; and that it reports none when one connection of
several breaks. An agent that misses a crash lets a crashing booking crash one more target
(lib/isolate.h). usage: once_crash.py BUILD"""
import signal
import socket
import sys
import threading
import time

from once_fleet import KEY, BookingHandler, Target, with_fleet

EVENT = "TARGET_CRASHED"
READ_BYTES = 64 * 1024  # an agent reads at most as much at once


class Handler(BookingHandler):
    """Keeps each booking whose key begins with "hold" until the target crashes."""

    def do_POST(self):
        key = self.headers["Idempotency-Key"]
        if not key.startswith("hold"):
            super().do_POST()
            return
        self.rfile.read(int(self.headers["Content-Length"]))
        self.server.held[key] = self.connection
        while self.connection in self.server.open:
            time.sleep(0.01)


class HoldingTarget(Target):
    handler = Handler

    def __init__(self, port):
        self.held = {}
        super().__init__(port)

    def wait_for(self, *keys):
        end = time.monotonic() + 5
        while not all(key in self.held for key in keys):
            assert time.monotonic() < end, (keys, self.held)
            time.sleep(0.01)


def send(fleet, *keys):
    for key in keys:
        threading.Thread(target=fleet.send_booking, args=("e0", key), daemon=True).start()


def answer(size):
    body = b"x" * size
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + body


def crash_after(fleet, target, *pieces):
    """Sends each (key, bytes) while the agent is stopped, then crashes the target."""
    agent = fleet.procs["da0"]
    target.wait_for(*(key for key, _ in pieces))
    agent.send_signal(signal.SIGSTOP)
    for key, data in pieces:
        connection = target.held[key]
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * len(data))
        connection.sendall(data)
        time.sleep(0.05)
    target.crash()
    agent.send_signal(signal.SIGCONT)


def check_long_answer(fleet, target):
    """The agent reads the end of an answer after it saw the loss: it reads a long answer
    in several passes over its connections."""
    send(fleet, "hold-a", "hold-b", "hold-c")
    target.wait_for("hold-a", "hold-c")
    crash_after(fleet, target, ("hold-b", answer(3 * READ_BYTES)))


def check_unread_answer(fleet, target):
    """The agent reads all of an answer after it saw the loss: the connection that breaks
    got bytes before, so its events are handled first."""
    send(fleet, "hold-a", "hold-b")
    crash_after(fleet, target, ("hold-a", answer(2 * READ_BYTES)[:READ_BYTES]),
                ("hold-b", answer(20)))


def check_waiting_claim(fleet, target):
    """A booking is claimed when its target has crashed: it is not sent, which does not
    show that the target is alive."""
    send(fleet, "hold-a")
    target.wait_for("hold-a")
    for name in fleet.controls:
        fleet.procs[name].send_signal(signal.SIGSTOP)
    send(fleet, "wait-b")
    time.sleep(0.1)
    target.crash()
    for name in fleet.controls:
        fleet.procs[name].send_signal(signal.SIGCONT)


def check_paused_answer(fleet, target):
    """An agent stops reading an answer when its caller does not read: it does not see that
    the connection ends."""
    send(fleet, "hold-a")
    fleet.slow_caller = send_and_stop_reading(fleet, "hold-b")
    target.wait_for("hold-a", "hold-b")
    connection = target.held["hold-b"]
    connection.settimeout(1)
    try:
        connection.send(answer(1024 * READ_BYTES)[:READ_BYTES])
        while True:
            connection.send(b"x" * READ_BYTES)
    except TimeoutError:
        target.crash()


def send_and_stop_reading(fleet, key):
    connection = socket.create_connection(("127.0.0.1", fleet.entries["e0"][0]))
    connection.sendall(("POST /services/bookings/book HTTP/1.1\r\nHost: e0\r\n"
                        "Authorization: Bearer %s\r\nIdempotency-Key: %s\r\n"
                        "Content-Length: 2\r\n\r\n{}" % (KEY, key)).encode())
    return connection


def check_single_loss(fleet, target):
    """One of two connections breaks, and the target goes on: no crash."""
    send(fleet, "hold-a", "hold-b")
    target.wait_for("hold-a", "hold-b")
    target.held["hold-a"].shutdown(socket.SHUT_RDWR)


def run_test(fleet, check, expected):
    target = fleet.targets["a0"]
    for n in range(20):  # the target is warm, and takes three requests at once
        fleet.send_booking("e0", "warm-%d" % n)
    assert not fleet.log_has("da0", EVENT, 0.1)
    check(fleet, target)
    reported = fleet.log_has("da0", EVENT, 3)
    print("%s: %s, %s reported" % (check.__name__, "ok" if reported == expected else "FAILED",
                                   EVENT if reported else "nothing"))
    if reported != expected:
        fleet.print_logs()
    return 0 if reported == expected else 1


def main():
    checks = [(check_long_answer, True), (check_unread_answer, True),
              (check_waiting_claim, True), (check_paused_answer, True),
              (check_single_loss, False)]
    names = ["c0", "c1", "c2", "e0", "e1", "da0"]
    return max([with_fleet(lambda fleet: run_test(fleet, check, expected), False,
                           HoldingTarget, names) for check, expected in checks])


sys.exit(main())
