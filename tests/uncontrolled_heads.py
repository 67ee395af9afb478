"""Heads of requests that stop short of their end, or have no body behind them, from
clients that nobody controls, at each HTTP listener of a process that libsoup reads,
one listener after the other. The process lives, its memory (with what its sockets
hold unread) and its descriptors stay within bounds, and one ordinary request is
answered afterwards."""
import itertools
import socket
import sys
import time

from uncontrolled_clients import DOORS, Process, wait_until

CLIENTS = 600
MEMORY_MB = 40
FDS_MAX = CLIENTS + 100
PRESS_S = 3
LINE = b"X: y\r\n"
FORMS = {  # number of lines, and what follows them
    "long": (15_000, b""),  # longer than the 64 KiB that libsoup allows
    "open": (10_000, b""),
    "whole": (10_000, b"Content-Length: 10\r\n\r\n"),  # its body never comes
}


def press(process, door, form):
    lines, end_of_head = FORMS[form]
    start = ("%s %s HTTP/1.1\r\nHost: h\r\n" % DOORS[door][:2]).encode()
    crowd = []
    for _ in range(CLIENTS):
        conn = socket.create_connection(("127.0.0.1", process.ports[door]))
        conn.setblocking(False)
        crowd.append([conn, start + LINE * lines + end_of_head])
    memory = fds = 0
    end = time.time() + PRESS_S
    while time.time() < end and process.lives():
        for client in crowd:
            try:
                client[1] = client[1][client[0].send(client[1][:262_144]):]
            except BlockingIOError:
                pass
            except OSError:
                client[1] = b""
        memory = max(memory, process.memory())
        fds = max(fds, process.descriptors())
        time.sleep(0.01)
    for conn, _ in crowd:
        conn.close()
    return memory, fds


def main(build):
    process = Process(build, MEMORY_MB)
    failures = []
    try:
        for door, form in itertools.product(("entry", "operator", "admin"),
                                            FORMS):
            wait_until(lambda: process.answers(door), "no answer at " + door)
            memory, fds = press(process, door, form)
            print("%s, %s: %d MB, %d descriptors" % (
                door, form, memory >> 20, fds), flush=True)
            assert process.lives(), "the process ended"
            if memory > MEMORY_MB << 20 or fds > FDS_MAX:
                failures.append((door, form))
            wait_until(lambda: process.answers(door), "no answer at " + door)
    finally:
        if process.lives():
            process.process.kill()
        process.process.wait()
    assert not failures, "over the bounds: %s" % failures


main(sys.argv[1])
