"""A target ends and returns at once under its id, behind a proxy that accepts
connections meanwhile and passes each close on by itself, some late, as if it had
been lost and sent again: no cut answer looks complete."""
import collections
import random
import socket
import sys
import threading
import time

import relay_fleet
from relay_fleet import Target, run_checks

RESTART_S = 0.03
CLOSE_DELAYS_S = (0, 0.2, 0.3)
ANSWERS = 40
HALF = b"b" * 1000

random.seed(1)
answer_others = Target.answer_out_of_order


def answer_until_close(self, conn, seal, echo, behavior, start, first):
    if behavior not in ("gone", "sound"):
        return answer_others(self, conn, seal, echo, behavior, start, first)
    conn.sendall(("HTTP/1.1 200 OK\r\n%s\r\n" % seal).encode() + HALF)
    time.sleep(0.15)
    if behavior == "gone":
        self.crash(keep_id=True)
    else:
        conn.sendall(HALF)
    return False


Target.answer_out_of_order = answer_until_close


class LateCloses:
    """Passes connections to @address on to @target."""

    def __init__(self, address, target):
        self.target = target
        self.socket = socket.create_server(address)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client, _ = self.socket.accept()
            try:
                server = socket.create_connection(self.target)
            except OSError:
                client.close()
                continue
            for ends in ((client, server, 0),
                         (server, client, random.choice(CLOSE_DELAYS_S))):
                threading.Thread(target=self.forward, args=ends,
                                 daemon=True).start()

    @staticmethod
    def forward(source, sink, close_delay_s):
        try:
            while data := source.recv(65536):
                sink.sendall(data)
        except OSError:
            pass
        time.sleep(close_delay_s)
        try:
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass


def check_closes_arrive_late(fleet):
    relay_fleet.CRASH_PAUSE_S = RESTART_S
    for n, target in enumerate(fleet.targets):
        address = ("127.0.9.%d" % (10 + n), target.port)
        LateCloses(address, (target.host, target.port))
        target.announced = address
    time.sleep(2.5)  # until the relay knows the addresses
    seen = collections.Counter()
    for n in range(ANSWERS):
        behavior = "gone" if n % 3 else "sound"
        status, body, _ = fleet.call("unsafe", behavior, "late-%d" % n,
                                     body="late-%d" % n)
        seen[behavior, status, len(body)] += 1
        time.sleep(0.35)
    print("  ", dict(seen))
    assert seen["sound", 200, 2 * len(HALF)] > ANSWERS // 6, seen
    assert not seen["gone", 200, len(HALF)], seen


run_checks(sys.argv[1], [check_closes_arrive_late])
