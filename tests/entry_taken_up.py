"""Streams through entries and agents that break and are taken up by their callers,
with and without an Idempotency-Key, at the same and at another entry, also after
entries, agents or targets have restarted. Each target stamps the version of its
software into its events: no caller may get events of two versions, and what is
refused as not run must not have run.
usage: entry_taken_up.py BUILD calm|entries|agents|targets"""
import collections
import concurrent.futures
import http.client
import json
import re
import sys
import time

from once_fleet import KEY, BookingHandler, Target, with_fleet

EVENT = re.compile(rb"id: (\d+)\ndata: v(\d+)\n\n")
N_EVENTS = 6
BREAKS_AFTER = 3
STREAMS = 8  # of each way and entry
CALLERS = 8  # at the same time
READY_S = 25.0
PAUSE_S = 0.1  # between events of a run that its caller leaves, and before a break


class VersionHandler(BookingHandler):
    restarts = 0  # of all targets, each time to a new version
    sendings = collections.Counter()  # X-Sending to the number of its runs

    def do_GET(self):
        if "/stream" in self.path:
            self.stream()
        else:
            super().do_GET()

    def do_POST(self):
        if "/stream" in self.path:
            self.rfile.read(int(self.headers.get("Content-Length", "0")))
            self.stream()
        else:
            super().do_POST()

    def stream(self):
        version = self.server.port * 10 + VersionHandler.restarts
        with Target.lock:
            VersionHandler.sendings[self.headers["X-Sending"]] += 1
        last = int(self.headers.get("Last-Event-Id") or 0)
        slow = "slow" in self.path
        stop = BREAKS_AFTER if last == 0 and not slow else N_EVENTS
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for n in range(last + 1, stop + 1):
            data = b"id: %d\ndata: v%d\n\n" % (n, version)
            self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
            self.wfile.flush()
            if slow:
                time.sleep(PAUSE_S)
        if stop == N_EVENTS:
            self.wfile.write(b"0\r\n\r\n")
        else:
            time.sleep(PAUSE_S)
        self.close_connection = stop < N_EVENTS


# Way of a stream to its method, and whether it has a key when it begins and when
# it is taken up.
WAYS = {
    "get": ("GET", False, False),
    "get-keyed": ("GET", True, True),  # the key of a GET has no effect
    "post": ("POST", False, False),
    "post-keyed": ("POST", True, True),
    "post-slow": ("POST", True, True),  # its caller leaves, the run goes on
    "post-key-later": ("POST", False, True),
    "post-key-first": ("POST", True, False),
}
# Ways whose second sending has no stored answer.
UNSTORED = ("get", "get-keyed", "post", "post-key-later", "post-key-first")
# How many streams whose callers left their running runs must become whole: agents
# that have restarted have no answers, and a target may restart during a run.
WHOLE = {"calm": 2 * STREAMS, "entries": 2 * STREAMS, "targets": 1, "agents": 0}


class Stream:
    def __init__(self, way, number, begins, returns):
        self.way, self.begins, self.returns = way, begins, returns
        self.name = "%s-%s-%s-%d" % (way, begins, returns, number)
        self.sent, self.events, self.answers = 0, [], []
        self.whole = False
        self.anew = None  # the stream that the caller then begins anew

    def send(self, fleet, entry, is_keyed, last=None, leave_after=None):
        self.sent += 1
        sending = "%s-%d" % (self.name, self.sent)
        headers = {"Authorization": "Bearer " + KEY, "X-Sending": sending}
        if is_keyed:
            headers["Idempotency-Key"] = self.name
        if last is not None:
            headers["Last-Event-Id"] = last
        method = WAYS[self.way][0]
        connection = http.client.HTTPConnection(
            "127.0.0.1", fleet.entries[entry][0], timeout=10)
        status, body = 0, b""
        try:
            connection.request(method, "/services/bookings/stream?" + self.name,
                               self.name if method == "POST" else None, headers)
            answer = connection.getresponse()
            status = answer.status
            while more := answer.read1(65536):
                body += more
                if (status == 200 and leave_after is not None
                        and len(EVENT.findall(body)) >= leave_after):
                    break
            else:
                self.whole = status == 200
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        if status == 200:
            self.events += [tuple(map(int, e)) for e in EVENT.findall(body)]
        self.answers.append((sending, status, body))

    def begin(self, fleet):
        slow = self.way == "post-slow"
        self.send(fleet, self.begins, WAYS[self.way][1],
                  leave_after=2 if slow else None)

    def take_up(self, fleet):
        if self.events:
            self.send(fleet, self.returns, WAYS[self.way][2],
                      str(self.events[-1][0]))
        if self.way in UNSTORED and self.answers[-1][1] == 503:
            self.anew = Stream(self.way, 0, self.returns, self.returns)
            self.anew.name = self.name
            self.anew.sent = self.sent
            self.anew.send(fleet, self.returns, WAYS[self.way][2])

    def faults(self):
        ids = [n for n, _ in self.events]
        if len({version for _, version in self.events}) > 1:
            yield "two versions"
        if ids != list(range(1, len(ids) + 1)):
            yield "out of order"
        if self.whole and len(ids) != N_EVENTS:
            yield "ends early"
        for sending, status, body in self.answers:
            if status in (0, 200):
                continue
            problem = json.loads(body)
            if problem["run"] == "not-run" and VersionHandler.sendings[sending]:
                yield "not-run, but ran"
        for _, status, body in self.answers[1:]:
            if status != 200 and self.way in UNSTORED and (
                    status != 503 or json.loads(body)["run"] != "not-run"
                    or "begin it anew" not in json.loads(body)["detail"]):
                yield "refused without a remedy: %d" % status
        if self.anew is not None and (
                [n for n, _ in self.anew.events] != [1, 2, 3]
                or len({version for _, version in self.anew.events}) > 1):
            yield "not begun anew: %s" % self.anew.answers[0][1]


def restart(fleet, what):
    if what == "entries":
        names = list(fleet.entries)
    elif what == "agents":
        names = ["d" + name for name in fleet.targets]
    else:
        names = []
    for name in names:
        fleet.kill(name)
    if what == "targets":
        VersionHandler.restarts += 1
        for target in fleet.targets.values():
            target.crash()
    fleet.start(*names)
    return what == "calm" or fleet.wait_ready(READY_S)


def run_test(fleet):
    streams = [Stream(way, n, begins, returns) for way in WAYS
               for begins, returns in (("e0", "e0"), ("e0", "e1"))
               for n in range(STREAMS)]
    callers = concurrent.futures.ThreadPoolExecutor(CALLERS)
    list(callers.map(lambda stream: stream.begin(fleet), streams))
    if not restart(fleet, sys.argv[2]):
        print("FAILED: the fleet is not ready again")
        return 1
    list(callers.map(lambda stream: stream.take_up(fleet), streams))
    seen, broken, few = collections.Counter(), collections.Counter(), []
    for stream in streams:
        for fault in stream.faults():
            broken["%s: %s" % (stream.way, fault)] += 1
        seen["%s: %s" % (stream.way, stream.answers[-1][1])] += 1
    for way in WAYS:
        of_way = [s for s in streams if s.way == way]
        if sum(len(s.answers) > 1 for s in of_way) < len(of_way) // 2:
            few.append(way + ": few were taken up")
        whole = sum(s.whole for s in of_way)
        if way == "post-slow" and whole < WHOLE[sys.argv[2]]:
            few.append(way + ": %d are whole" % whole)
    print("%s: last answers %s" % (sys.argv[2], dict(seen)))
    if broken or few:
        print("FAILED: of %d streams of each way, %s %s"
              % (2 * STREAMS, dict(broken), few))
    return 1 if broken or few else 0


Target.handler = VersionHandler
sys.exit(with_fleet(run_test))
