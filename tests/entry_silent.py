"""Connections between entries, agents and control go silent, in one direction or both, or
are reset at one end, while new ones work. usage: entry_silent.py BUILD [CHECK...]"""
import socket
import struct
import sys
import threading
import time

from once_fleet import BookingHandler, Target, expected_body, with_fleet

RUN_S = 0.6  # a long booking's time at its target
DC_OUT_S = 3  # docs/design/cut-off.md
LINK_S = 5  # how long an entry waits for an agent, docs/design/at-most-once.md
BACK_S = 3  # a connection is replaced and its answers are taken up again within this time


class Handler(BookingHandler):
    reads = []  # when they began

    def do_GET(self):
        if self.headers.get("X-Key") is not None:
            self.reads.append(time.monotonic())
        super().do_GET()

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
              if c.mode != "silent"]
    for connection in chosen:
        change(connection)
    return len(chosen)


def change_each(fleet, change):
    """Changes all connections of entries; between the end of those of the round before
    and the next ones there may be none for a moment."""
    end = time.monotonic() + BACK_S
    while each_connection(fleet, fleet.entries, change) == 0:
        assert time.monotonic() < end, "no connections for %g s" % BACK_S
        time.sleep(0.01)


def silence(connection):
    connection.disturb("silent")


def silence_to_dialling_end(connection):
    connection.disturb("cut-out")


def silence_to_accepting_end(connection):
    connection.disturb("cut-in")


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
        change_each(fleet, change)
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


def check_bookings_beside_silence_of_entries(fleet):
    return check_answers(fleet, "entries", silence_to_dialling_end)


def check_bookings_beside_silence_of_agents(fleet):
    return check_answers(fleet, "agents", silence_to_accepting_end)


def check_reads_beside_silence_of_entries(fleet):
    return check_answers(fleet, "entries", silence_to_dialling_end, "GET")


def check_reads_beside_silence_of_agents(fleet):
    return check_answers(fleet, "agents", silence_to_accepting_end, "GET")


class Reader(threading.Thread):
    """Sends reads to an entry, one after the other, until stopped."""

    def __init__(self, fleet, entry, name):
        super().__init__(daemon=True)
        self.fleet, self.entry, self.prefix = fleet, entry, name
        self.sent, self.stopped = [], threading.Event()  # (sent, answered, key, status)
        self.start()

    def run(self):
        n = 0
        while not self.stopped.wait(0.02):
            n += 1
            key, at = "%s-%d" % (self.prefix, n), time.monotonic()
            status = self.fleet.send_booking(self.entry, key, method="GET", timeout=20)[0]
            self.sent.append((at, time.monotonic(), key, status))

    def stop(self):
        self.stopped.set()
        self.join()
        return self.sent


def check_service_after_silence_everywhere(fleet):
    """All open connections of all processes go silent at once."""
    failures, slowest = [], 0
    for n in range(3):
        time.sleep(1)
        readers = [Reader(fleet, "e%d" % (i % 2), "all-%d-%d" % (n, i)) for i in range(4)]
        time.sleep(0.3)
        each_connection(fleet, fleet.proxies, silence)
        silent = time.monotonic()
        time.sleep(LINK_S)
        for reader in readers:
            sent = reader.stop()
            back = min((done for at, done, _, status in sent if status == 200 and at > silent),
                       default=float("inf")) - silent
            slowest = max(slowest, back)
            refused = [status for at, _, _, status in sent if status != 200]
            if back > LINK_S or refused:
                failures.append("served again after %.1f s, not answered: %s" % (back, refused))
    print("all silent: served again after %.1f s at most" % slowest)
    return failures


def check_dc_out(fleet, name, names, change):
    """Nothing is started later than DC_OUT_S after the data centre is out."""
    failures, last = [], 0
    for n in range(2):
        readers = [Reader(fleet, "e%d" % (i % 2), "%s-%d-%d" % (name, n, i)) for i in range(4)]
        time.sleep(0.5 + 0.4 * n)
        each_connection(fleet, names, change)
        fleet.operate("dc", "out", "local")
        accepted = time.monotonic()
        time.sleep(DC_OUT_S + 2)
        with Target.lock:
            late = [at - accepted for at in Handler.reads if at > accepted]
        last = max([last, *late])
        if last > DC_OUT_S:
            failures.append("a read was started %.1f s after dc out" % last)
        fleet.operate("dc", "in", "local")
        for reader in readers:
            reader.stopped.set()
        for reader in readers:
            reader.stop()
        if not fleet.wait_ready():
            failures.append("not ready again")
    print("dc out, %s: last start %.1f s after" % (name, last))
    return failures


def check_dc_out_beside_silence_of_control(fleet):
    return check_dc_out(fleet, "control", fleet.controls, silence_to_dialling_end)


def check_dc_out_beside_silence_to_control(fleet):
    return check_dc_out(fleet, "to-control", fleet.controls, silence_to_accepting_end)


def check_dc_out_beside_silence_everywhere(fleet):
    return check_dc_out(fleet, "everywhere", fleet.proxies, silence)


CHECKS = [check_bookings_beside_reset_at_the_agent, check_reads_beside_reset_at_the_agent,
          check_bookings_beside_silence, check_reads_beside_silence,
          check_bookings_beside_silence_of_entries, check_reads_beside_silence_of_entries,
          check_bookings_beside_silence_of_agents, check_reads_beside_silence_of_agents,
          check_service_after_silence_everywhere, check_dc_out_beside_silence_of_control,
          check_dc_out_beside_silence_to_control, check_dc_out_beside_silence_everywhere]


def run_test(fleet):
    failures = []
    for check in CHECKS:
        if not sys.argv[2:] or check.__name__ in sys.argv[2:]:
            failures += ["%s: %s" % (check.__name__, line) for line in check(fleet)]
    for line in failures[:30]:
        print("FAILED: " + line)
    return 1 if failures else 0


sys.exit(with_fleet(run_test, make_target=SlowTarget, proxied=True))
