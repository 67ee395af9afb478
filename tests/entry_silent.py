"""Connections between entries, agents and control go silent, in one direction or both, or
are reset at one end, while new ones work. usage: entry_silent.py BUILD [CHECK...]"""
import socket
import struct
import sys
import threading
import time

from once_fleet import BookingHandler, Target, expected_body, with_fleet

RUN_S = 0.6  # a long booking's time at its target
BACK_S = 3  # a connection is replaced and its answers are taken up again within this time


class Handler(BookingHandler):
    def do_POST(self):
        if "long" in self.headers.get("Idempotency-Key", ""):
            time.sleep(RUN_S)
        super().do_POST()


class SlowTarget(Target):
    handler = Handler


def reset_dialling_end(connection):
    """The accepting end sees nothing of it."""
    connection.disturb("silent")
    connection.client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.client.shutdown(socket.SHUT_RD)
    connection.client.close()


def each_connection(fleet, names, change):
    chosen = [c for name in names for c in fleet.proxies[name].open_connections()
              if c.mode == "pass"]
    for connection in chosen:
        change(connection)
    return len(chosen)


def silence(connection):
    connection.disturb("silent")


def send_all(fleet, name, n, method):
    """Sends n requests at once; (key, seconds, reply) of each, once all have ended."""
    results = []

    def send(i):
        key, began = "%s-long-%d" % (name, i), time.monotonic()
        reply = fleet.send_booking("e%d" % (i % 2), key, method=method, timeout=20)
        results.append((key, time.monotonic() - began, reply))

    threads = [threading.Thread(target=send, args=(i,)) for i in range(n)]
    for thread in threads:
        thread.start()
    return threads, results


def check_answers(fleet, name, change, method="POST", rounds=3):
    """Requests that run while the connections of their entries to the agents change in
    this way are answered, once each, soon after new connections work."""
    failures, slowest = [], 0
    for n in range(rounds):
        time.sleep(1)
        threads, results = send_all(fleet, "%s-%d" % (name, n), 8, method)
        time.sleep(0.3)
        assert each_connection(fleet, fleet.entries, change) > 0
        for thread in threads:
            thread.join()
        for key, seconds, (status, run, body) in results:
            slowest = max(slowest, seconds)
            expected = expected_body(key) * (1 if method == "POST" else 10)
            if status != 200 or body != expected:
                failures.append("%s: %d %s after %.1f s" % (key, status, run, seconds))
            elif seconds > RUN_S + BACK_S:
                failures.append("%s answered after %.1f s" % (key, seconds))
            if method == "POST" and Target.runs.get(key, 0) > 1:
                failures.append("%s ran twice" % key)
    print("%s, %s: slowest %.1f s" % (name, method, slowest))
    return failures


def check_bookings_beside_reset_at_the_agent(fleet):
    return check_answers(fleet, "reset", reset_dialling_end)


def check_reads_beside_reset_at_the_agent(fleet):
    return check_answers(fleet, "reset", reset_dialling_end, "GET")


def check_bookings_beside_silence(fleet):
    return check_answers(fleet, "silent", silence)


def check_reads_beside_silence(fleet):
    return check_answers(fleet, "silent", silence, "GET")


CHECKS = [check_bookings_beside_reset_at_the_agent, check_reads_beside_reset_at_the_agent,
          check_bookings_beside_silence, check_reads_beside_silence]


def run_test(fleet):
    failures = []
    for check in CHECKS:
        if not sys.argv[2:] or check.__name__ in sys.argv[2:]:
            failures += ["%s: %s" % (check.__name__, line) for line in check(fleet)]
    for line in failures[:30]:
        print("FAILED: " + line)
    return 1 if failures else 0


sys.exit(with_fleet(run_test, make_target=SlowTarget, proxied=True))
