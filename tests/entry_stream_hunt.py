"""Streams through entries and agents while their processes, their links and the
targets end in many ways. No caller may get an event twice, out of order or of
another run than the first one, miss one, or see a proper end before the last event;
also if it sends a keyed request again, at any entry, after its last event.
usage: entry_stream_hunt.py BUILD [SEED [SECONDS]]"""
import collections
import http.client
import random
import re
import sys
import threading
import time

from once_fleet import KEY, BookingHandler, Target, with_fleet

N_EVENTS = 14
CALLERS = 8
MIN_WHOLE = 10  # a hunt with fewer shows nothing
EVENT = re.compile(rb"id: (\d+)\ndata: p(\d+) (\d+)\n\n")
SEED = int(sys.argv[2]) if len(sys.argv) > 2 else time.time_ns() % 10**6
SECONDS = float(sys.argv[3]) if len(sys.argv) > 3 else 20
ENDS = ("whole",) * 5 + ("within", "between", "crash")


class StreamHandler(BookingHandler):
    numbers = iter(range(1, 10**9))

    def do_GET(self):
        if self.headers.get("X-Key") is None or "hunt" not in self.headers["X-Key"]:
            super().do_GET()
        else:
            self.stream()

    def do_POST(self):
        if "hunt" not in self.headers.get("Idempotency-Key", ""):
            super().do_POST()
            return
        self.rfile.read(int(self.headers.get("Content-Length", "0")))
        self.stream()

    def stream(self):
        with Target.lock:
            run = next(StreamHandler.numbers)
        end = random.choice(ENDS)
        if end == "crash" and self.command == "GET":
            end = "between"  # equal requests that crash targets are quarantined
        chunked = end != "whole" or random.random() < 0.5
        start = int(self.headers.get("Last-Event-Id", "0"))
        stop = N_EVENTS if end == "whole" else random.randint(
            min(start, N_EVENTS - 1), N_EVENTS - 1)
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        if chunked:
            self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for n in range(start + 1, stop + 1):
            self.send_piece(b"id: %d\ndata: p%d %d\n\n" % (n, n, run), chunked)
            time.sleep(0.02)
        if end == "within":
            self.send_piece(b"id: %d\nda" % (stop + 1), chunked)
        if end == "crash":
            self.server.crash()
        if end == "whole" and chunked:
            self.wfile.write(b"0\r\n\r\n")
        self.close_connection = not (chunked and end == "whole")

    def send_piece(self, data, chunked):
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data) if chunked else data)
        self.wfile.flush()


class Hunt:
    def __init__(self, fleet):
        self.fleet, self.stopped = fleet, threading.Event()
        self.broken, self.seen = [], collections.Counter()

    def call(self, number):
        n = 0
        while not self.stopped.is_set():
            n += 1
            self.stream("hunt-%d-%d" % (number, n), random.random() < 0.5)

    def stream(self, key, is_keyed):
        events = []
        for _ in range(6 if is_keyed else 1):
            last = str(events[-1][0]) if events else None
            status, body, whole = self.ask(key, is_keyed, last)
            events += [tuple(map(int, e)) for e in EVENT.findall(body)]
            self.seen["whole" if whole else "status %d" % status] += 1
            self.seen["taken up"] += last is not None and body != b""
            ids = [e[0] for e in events]
            if (ids != list(range(1, len(ids) + 1))
                    or len({run for _, _, run in events}) > 1
                    or (whole and len(ids) != N_EVENTS)):
                self.broken.append((key, is_keyed, whole, last, events))
                return
            if whole or self.stopped.is_set():
                return
            time.sleep(0.05)

    def ask(self, key, is_keyed, last):
        entry = random.choice(list(self.fleet.entries))
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.fleet.entries[entry][0], timeout=5)
        headers = {"Authorization": "Bearer " + KEY,
                   "Idempotency-Key" if is_keyed else "X-Key": key}
        if last is not None:
            headers["Last-Event-Id"] = last
        status, body = 0, b""
        try:
            connection.request("POST" if is_keyed else "GET",
                               "/services/bookings/book",
                               key if is_keyed else None, headers)
            response = connection.getresponse()
            status = response.status
            while data := response.read1(65536):
                body += data
            whole = status == 200
        except (OSError, http.client.HTTPException):
            whole = False
        finally:
            connection.close()
        return status, body if status == 200 else b"", whole

    def disturb(self):
        fleet = self.fleet
        names = list(fleet.entries) + ["d" + a for a in fleet.targets]
        while not self.stopped.wait(random.uniform(0.3, 1.0)):
            how = random.choice(("kill", "reset", "silent", "delay", "cut-out"))
            name = random.choice(names)
            if how == "kill":
                fleet.kill(name)
                fleet.start(name)
            else:
                random.choice(list(fleet.proxies.values())).disturb(how)
            self.seen[how] += 1


def run_test(fleet):
    random.seed(SEED)
    hunt = Hunt(fleet)
    threads = [threading.Thread(target=hunt.call, args=(n,), daemon=True)
               for n in range(CALLERS)]
    threads.append(threading.Thread(target=hunt.disturb, daemon=True))
    for thread in threads:
        thread.start()
    time.sleep(SECONDS)
    hunt.stopped.set()
    for thread in threads:
        thread.join(8)
    print("seed %d: %s" % (SEED, dict(sorted(hunt.seen.items()))))
    if hunt.broken:
        print("FAILED: %d streams: %s" % (len(hunt.broken), hunt.broken[:3]))
    if hunt.seen["whole"] < MIN_WHOLE:
        print("FAILED: few whole streams")
    return 1 if hunt.broken or hunt.seen["whole"] < MIN_WHOLE else 0


Target.handler = StreamHandler
sys.exit(with_fleet(run_test, proxied=True))
