"""Connections that their clients end, at each HTTP listener of a process: within the
head of a request, or after an answer, without "Connection: close". Their descriptors
and memory are freed, and an ordinary request is answered afterwards. Connections stay
open between requests."""
import http.client
import itertools
import socket
import sys
import time

from uncontrolled_clients import DOORS, Process, wait_until

MEMORY_MB = 40
WARM_UP = 1_000
CONNECTIONS = 6_000
REQUESTS_IN_A_ROW = 250
# What has ended holds nothing; the rest is for the allocator.
GROWTH_MAX_KB = 1_024
FDS_GROWTH_MAX = 20


def end_within_head(process, door):
    start = "%s %s HTTP/1.1\r\nHos" % DOORS[door][:2]
    with socket.create_connection(("127.0.0.1", process.ports[door])) as conn:
        conn.sendall(start.encode())


def end_after_answer(process, door):
    assert process.answers(door), "no answer at " + door


FORMS = {"head": end_within_head, "answer": end_after_answer}


def settled(measure):
    """The figure once no connection is left to be read, which ends it."""
    before = measure()
    while True:
        time.sleep(0.5)
        after = measure()
        if after >= before:
            return after
        before = after


def check_kept(process, door):
    """Requests in a row on one connection, which the process may close if it says
    so in an answer."""
    method, path, headers = DOORS[door]
    conn = http.client.HTTPConnection("127.0.0.1", process.ports[door], timeout=5)
    connections = set()
    for _ in range(REQUESTS_IN_A_ROW):
        conn.request(method, path, "{}" if method == "POST" else None,
                     dict(line.split(": ", 1) for line in headers.splitlines()))
        connections.add(conn.sock.getsockname())
        conn.getresponse().read()
    conn.close()
    print("%s: %d requests on %d connections" % (
        door, REQUESTS_IN_A_ROW, len(connections)), flush=True)
    assert len(connections) <= REQUESTS_IN_A_ROW // 50, door


def main(build):
    process = Process(build, MEMORY_MB)
    failures = []
    try:
        for door in DOORS:
            wait_until(lambda: process.answers(door), "no answer at " + door)
            check_kept(process, door)
        for door, form in itertools.product(DOORS, FORMS):
            wait_until(lambda: process.answers(door), "no answer at " + door)
            for _ in range(WARM_UP):
                FORMS[form](process, door)
            memory = settled(process.memory)
            fds = settled(process.descriptors)
            for _ in range(CONNECTIONS):
                FORMS[form](process, door)
            memory = settled(process.memory) - memory >> 10
            fds = settled(process.descriptors) - fds
            print("%s, ended within the %s: %d KB and %d descriptors more" % (
                door, form, memory, fds), flush=True)
            if memory > GROWTH_MAX_KB or fds > FDS_GROWTH_MAX:
                failures.append((door, form))
            wait_until(lambda: process.answers(door), "no answer at " + door)
    finally:
        if process.lives():
            process.process.kill()
        process.process.wait()
    assert not failures, "over the bounds: %s" % failures


main(sys.argv[1])
