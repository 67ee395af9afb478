"""Requests beside planned work are answered: relays that stop and return in turn,
SIGHUP, control members that stop, changes of the manifest; with callers that keep
their connections, pipeline, send bodies in parts, read slowly, and streams.

usage: relay_planned.py BUILD-FOLDER [SEED [SECONDS [MEMORY-MB|- [CHECK..]]]]
"""
import json
import random
import signal
import socket
import sys
import threading
import time

from relay_fleet import BEHAVIOR_HEADER, KEY, Target, run_checks, wait_for

SEED = int(sys.argv[2]) if len(sys.argv) > 2 else 45
SECONDS = float(sys.argv[3]) if len(sys.argv) > 3 else 25
RELAYS = (5, 6, 7, 8, 9, 10)
# Of the platform, in seconds.
GRACE_S, LOSS_SLACK_S, PROBE_S, STREAM_SENT_S = 6, 0.2, 1, 3
LIMIT_MS = 4000  # of a request
MEMORY_MB = 110  # of a relay
BIG, HUGE = 300000, 3000000  # bytes


class Traffic:
    """Callers of all relays that the load balancer holds for ready."""

    def __init__(self, fleet, callers=24, kinds=None):
        self.fleet = fleet
        self.kinds = [getattr(self, kind) for kind in kinds or (
            "keep", "pipeline", "parts", "slow", "stream", "big")]
        self.ready = {n: 2 for n in RELAYS}  # probes that may still fail
        self.stops = {n: [] for n in RELAYS}  # times of SIGTERM
        self.ends = {n: [] for n in RELAYS}  # times at which it had ended
        self.reloads = []
        self.stopped = threading.Event()
        self.results = []  # kind, relay, sent, ended, how, attempt
        self.threads = [threading.Thread(target=self.probe, daemon=True)] + [
            threading.Thread(target=self.run, args=(n,), daemon=True)
            for n in range(callers)]
        for thread in self.threads:
            thread.start()

    def probe(self):
        while not self.stopped.is_set():
            for n in RELAYS:
                try:
                    ready = self.fleet.ready(n)
                except OSError:
                    ready = False
                self.ready[n] = 2 if ready else self.ready[n] - 1
            self.stopped.wait(PROBE_S)

    def run(self, n):
        rng = random.Random(SEED * 1000 + n)
        kinds = self.kinds
        while not self.stopped.is_set():
            ready = [r for r in RELAYS if self.ready[r] > 0]
            if not ready:
                time.sleep(0.1)
                continue
            relay = rng.choice(ready)
            try:
                conn = socket.create_connection(
                    ("127.0.0.%d" % relay, self.fleet.port + 2), timeout=1)
                conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                conn.settimeout(9)
            except OSError:
                time.sleep(0.05)
                continue
            with conn:
                kinds[n % len(kinds)](Connection(self, conn, relay, rng, n))

    def keep(self, c):
        while c.exchange("safe", "brief"):
            time.sleep(c.rng.choice((0, 0.01, 0.3)))

    def pipeline(self, c):
        while True:
            sent = [c.send("unsafe", "ok") for _ in range(3)]
            if not all([c.receive(*one) for one in sent]):
                return
            time.sleep(c.rng.uniform(0, 0.1))

    def parts(self, c):
        while c.exchange("unsafe", "brief", 3000, parts=c.rng.uniform(0.05, 0.8)):
            time.sleep(c.rng.uniform(0, 0.1))

    def slow(self, c):
        while c.exchange("safe", "long-%d" % BIG, read_pause=0.002):
            time.sleep(c.rng.uniform(0, 0.2))

    def stream(self, c):
        while c.exchange("streaming", "trickle"):
            time.sleep(c.rng.uniform(0, 0.2))

    def big(self, c):
        while c.exchange("safe", c.rng.choice(("brief", "slow")), BIG,
                         headers="X-Read-After: %.1f\r\n" % c.rng.choice((0, 0.5))):
            time.sleep(c.rng.uniform(0, 0.1))

    def huge(self, c):
        """Bodies and answers of megabytes, which callers read slowly."""
        size = c.rng.choice((10, BIG, HUGE))
        while c.exchange("safe", "long-%d" % c.rng.choice((10, HUGE)), size,
                         read_pause=0.0005, parts=c.rng.uniform(0.01, 0.3)):
            time.sleep(c.rng.uniform(0, 0.1))

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


class Connection:
    def __init__(self, traffic, conn, relay, rng, n):
        self.traffic, self.conn, self.relay, self.rng = traffic, conn, relay, rng
        self.n, self.data = n, b""

    def exchange(self, *args, **options):
        read_pause = options.pop("read_pause", 0)
        return self.receive(*self.send(*args, **options), read_pause=read_pause)

    def send(self, route, behavior, size=1, parts=0, headers=""):
        """Attempt and time at which its last byte was sent, None if not all."""
        attempt = "p%d-%d" % (self.n, time.time_ns())
        head = ("POST /%s/x HTTP/1.1\r\nHost: h.example\r\nX-Quetzalgate-Attempt-Id:"
                " %s\r\nX-Quetzalgate-Deadline-Ms: %d\r\nX-Quetzalgate-Key: %s\r\n"
                "%s: %s\r\n%sContent-Length: %d\r\n\r\n" % (
                    route, attempt, LIMIT_MS, KEY, BEHAVIOR_HEADER, behavior,
                    headers, size)).encode()
        began = time.time()
        try:
            if parts:
                self.conn.sendall(head + b"x" * (size // 2))
                time.sleep(parts)
                self.conn.sendall(b"x" * (size - size // 2))
            else:
                self.conn.sendall(head + b"x" * size)
        except OSError:
            return attempt, route, began, None
        return attempt, route, began, time.time()

    def receive(self, attempt, route, began, sent, read_pause=0):
        """Reads an answer; whether the connection may be used again."""
        how, keep = "lost", False
        try:
            how, keep = self.read_answer(read_pause)
        except (OSError, ValueError) as error:
            how = "lost: %s" % error
        self.traffic.results.append((route, self.relay, began, sent, time.time(),
                                     how, attempt))
        return keep and not self.traffic.stopped.is_set()

    def read(self, read_pause):
        if read_pause:
            time.sleep(read_pause)
        more = self.conn.recv(4096 if read_pause else 65536)
        if not more:
            raise ValueError("closed")
        self.data += more

    def read_answer(self, read_pause):
        while b"\r\n\r\n" not in self.data:
            self.read(read_pause)
        head, self.data = self.data.split(b"\r\n\r\n", 1)
        head = head.decode().lower()
        if "transfer-encoding: chunked" in head:
            while b"0\r\n\r\n" not in self.data:
                self.read(read_pause)
            self.data = self.data.split(b"0\r\n\r\n", 1)[1]
        else:
            size = int(head.split("content-length: ")[1].split("\r\n")[0])
            while len(self.data) < size:
                self.read(read_pause)
            self.data = self.data[size:]
        return head.split()[1], "connection: close" not in head


def stop_relay(fleet, traffic, n):
    """Stops a relay as the platform does, and starts it again."""
    name = "relay-%d" % n
    process = fleet.processes[name]
    traffic.stops[n].append(time.time())
    process.send_signal(signal.SIGTERM)
    try:
        code = process.wait(timeout=GRACE_S)
    except Exception:
        process.kill()
        process.wait()
        code = "killed"
    traffic.ends[n].append(time.time())
    fleet.relay(n)
    wait_for("relay %d is ready" % n, lambda: fleet.ready(n))
    return code


def judge(traffic):
    """Requests that were lost in a way that the rules count, and a summary."""
    ran = {attempt for _, attempt, _ in Target.arrivals}
    lost, kinds, excused = [], {}, {"crossed": 0, "time limit": 0, "grace": 0}
    for route, relay, began, sent, ended, how, attempt in traffic.results:
        kinds[how] = kinds.get(how, 0) + 1
        if not how.startswith("lost"):
            continue
        if sent is None:
            excused["not sent whole"] = excused.get("not sent whole", 0) + 1
            continue
        passed_on = attempt in ran
        if not passed_on and ended - sent <= LOSS_SLACK_S:
            excused["crossed"] += 1  # the relay's close
            continue
        if ended - began >= LIMIT_MS / 1000:
            excused["time limit"] += 1
            continue
        stop = [at for at in traffic.stops[relay] if at < ended < at + 9]
        after_s = ended - stop[-1] if stop else None
        if stop and began <= stop[-1] + STREAM_SENT_S and (
                after_s > GRACE_S * 5 / 6):
            excused["grace"] += 1
            continue
        lost.append((route, attempt, "passed on" if passed_on else "read",
                     "%.2f s after its end" % (ended - sent), how, after_s))
    return lost, kinds, excused


def prepare(fleet):
    for n in RELAYS[2:]:
        fleet.relay(n)
    limits = {"max_header_bytes": 8192, "max_body_bytes": 4194304,
              "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    fleet.limits = limits
    fleet.put_manifest(fleet.manifest(limits=limits))
    for n in RELAYS:
        wait_for("relay %d is ready" % n, lambda: fleet.ready(n))
    time.sleep(1)


def run(fleet, *work, seconds=SECONDS, served=0.8, **options):
    """Runs planned work beside traffic, each kind in its own thread."""
    traffic = Traffic(fleet, **options)
    time.sleep(1)
    end = time.time() + seconds
    threads = [threading.Thread(target=one, args=(fleet, traffic, end))
               for one in work]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(0.5)
    traffic.stop()
    lost, kinds, excused = judge(traffic)
    print(len(traffic.results), "requests", kinds, "not counted", excused, "lost",
          len(lost), flush=True)
    assert not lost, lost[:8]
    assert kinds.get("200", 0) > served * len(traffic.results), kinds


def relays_in_turn(fleet, traffic, end):
    rng = random.Random(SEED)
    while time.time() < end:
        stop_relay(fleet, traffic, rng.choice(RELAYS))


def relays_at_once(fleet, traffic, end):
    rng = random.Random(SEED)
    while time.time() < end:
        threads = [threading.Thread(target=stop_relay, args=(fleet, traffic, n))
                   for n in rng.sample(RELAYS, 3)]
        for thread in threads:
            thread.start()
            time.sleep(rng.uniform(0, 1.5))
        for thread in threads:
            thread.join()


def reload_all(fleet, traffic, end):
    rng = random.Random(SEED)
    known = {}
    while time.time() < end:
        for process in list(fleet.processes.values()):
            # A process that starts has its handler only after a moment.
            if process.poll() is None and known.get(process.pid, time.time()) < (
                    time.time() - 1):
                process.send_signal(signal.SIGHUP)
            known.setdefault(process.pid, time.time())
        time.sleep(rng.uniform(0.2, 1.5))


def stop_control(fleet, traffic, end):
    rng = random.Random(SEED + 1)
    while time.time() < end:
        n = rng.choice(fleet.members)
        process = fleet.processes["127.0.0.%d" % n]
        process.send_signal(signal.SIGTERM)
        process.wait(timeout=GRACE_S)
        fleet.control(n)
        time.sleep(rng.uniform(1.5, 4))


def change_manifest(fleet, traffic, end):
    while time.time() < end:
        text = fleet.manifest(limits=fleet.limits)
        fleet.put_manifest(text)
        time.sleep(0.25)


def silence_some(fleet, traffic, end):
    """Open connections between processes go silent."""
    rng = random.Random(SEED + 2)
    while time.time() < end:
        time.sleep(rng.uniform(0.3, 3))
        for n in rng.sample(sorted(fleet.proxies), 3):
            fleet.proxies[n].silence(way=rng.choice(
                (None, "to server", "to client")))


def check_pipelined_behind_a_stop(fleet):
    """Requests that have arrived behind another are answered, too."""
    traffic = Traffic(fleet, callers=0)
    with socket.create_connection(("127.0.0.%d" % RELAYS[0], fleet.port + 2),
                                  timeout=8) as conn:
        c = Connection(traffic, conn, RELAYS[0], None, 0)
        sent = [c.send("safe", "slow") for _ in range(3)]
        time.sleep(0.3)
        stop = threading.Thread(target=stop_relay, args=(fleet, traffic, RELAYS[0]))
        stop.start()
        for one in sent:
            c.receive(*one)
    stop.join()
    traffic.stop()
    answers = [result[5] for result in traffic.results]
    assert answers[:2] == ["200", "200"] and answers[2] in ("200", "503"), answers


def check_relays_in_turn(fleet):
    run(fleet, relays_in_turn)


def check_relays_at_once(fleet):
    run(fleet, relays_at_once)


def check_reloads(fleet):
    run(fleet, reload_all, change_manifest)


def check_control_stops(fleet):
    run(fleet, stop_control, change_manifest)


def check_all(fleet):
    run(fleet, relays_at_once, reload_all, stop_control, change_manifest)


def check_all_beside_silence(fleet):
    run(fleet, relays_at_once, reload_all, stop_control, change_manifest,
        silence_some)


def check_low_memory(fleet):
    """Relays refuse what does not fit, and end nothing without an answer."""
    kinds = ("huge", "huge", "huge", "stream", "keep")
    run(fleet, change_manifest, served=0.2, callers=48, kinds=kinds)
    run(fleet, relays_at_once, change_manifest, served=0.2, callers=48,
        kinds=kinds)


def check_silence(fleet):
    run(fleet, silence_some, change_manifest)


CHECKS = [check_pipelined_behind_a_stop, check_relays_in_turn, check_relays_at_once, check_reloads,
          check_control_stops, check_all, check_low_memory,
          check_silence, check_all_beside_silence]
if __name__ == "__main__":
    memory = sys.argv[4] if len(sys.argv) > 4 else "-"
    run_checks(sys.argv[1], [prepare] + [
        check for check in CHECKS
        if not sys.argv[5:] or check.__name__ in sys.argv[5:]],
               proxied=True, memory_mb=int(memory if memory != "-" else MEMORY_MB))
