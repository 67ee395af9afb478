"""A fleet on loopback for tests of the relay: three control members and two
relays, each a process with its own IP address, and targets within the test
process that send heartbeats and fail in the way a request header selects."""
import http.client
import json
import os
import re
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time

from peer_proxy import PeerProxy

KEY = "k-one"
CRASH_PAUSE_S = 0.4
SILENCE_S = 2  # from the end of a target that falls silent to its next life
BEHAVIOR_HEADER = "X-Do"  # request header that selects the target's behavior


def wait_for(what, check, seconds=15):
    end = time.time() + seconds
    while time.time() < end:
        try:
            if check():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise AssertionError("not within %g s: %s" % (seconds, what))


def claim_ports():
    """The first of ten ports that no other fleet uses while the socket returned
    with it is open."""
    for n in range(os.getpid(), os.getpid() + 1000):
        port = 20000 + n % 1000 * 10
        try:
            return port, socket.create_server(("127.0.0.1", port + 9))
        except OSError:
            pass
    raise AssertionError("all ports for fleets are in use")


def event_of(number):
    """The event with a number; "-": one without a number."""
    return (b"data: p\n\n" if number == "-"
            else b"id: %s\ndata: p%s\n\n" % ((str(number).encode(),) * 2))


class Target:
    """Serves raw HTTP. `runs` maps an attempt to its runs, each a tuple of
    target id, request headers, body and time."""
    runs = {}
    cancelled = {}  # attempt to the time of its cancellation
    crashes = []  # time of each crash of a target
    checks = []  # target id and time of each health check
    arrivals = []  # target id, attempt and time of each request
    deadly_part = None  # id of a prompt part on which a target crashes
    lock = threading.Lock()

    def __init__(self, fleet, n, service, dc, fixed_behavior=None, names=None,
                 version="v1"):
        """@names: id and IP address, if not those of the number @n."""
        self.fleet, self.service, self.dc = fleet, service, dc
        self.id, self.host = names or (
            "%s-%d" % (service, n), "127.0.%d.%d" % (n // 50, 20 + n % 50))
        self.port = fleet.port + 5
        self.fixed_behavior = fixed_behavior  # for all requests, or None
        self.sequence, self.state, self.born = 0, "ready", time.time_ns() // 10**6
        self.stopped = threading.Event()
        self.connections = set()
        self.lives = 0
        self.silent = False
        self.cold_ms = 0  # how much longer it says it is cold
        self.beats = True  # sends heartbeats
        self.statement_lock = threading.Lock()
        self.version = version  # of its software
        self.says = ""  # header lines that all answers have
        self.weights = None  # version that it states; None: states none
        self.honours_weights = True  # refuses requests that expect others
        self.turns_away = False  # refuses all requests
        self.late_copies = {}  # connection to bytes that come too late
        self.half_sent = set()  # connections on which half a copy was sent
        self.announced = (self.host, self.port)
        self.socket = self.listen()
        threading.Thread(target=self.accept_connections, daemon=True).start()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def listen(self):
        return socket.create_server((self.host, self.port))

    def send_heartbeats(self):
        while not self.stopped.is_set():
            if self.socket.fileno() >= 0 and not self.silent and self.beats:
                self.post("heartbeat")
            self.stopped.wait(0.2)

    def statement(self, sequence=None, **change):
        """Path and body of a message to control. @sequence is the number of a
        delayed heartbeat; None: the next number."""
        with self.statement_lock:
            self.sequence += 1
            fields = {
                "backend": self.service, "address": "%s:%d" % self.announced,
                "zone": self.dc, "version": self.version, "slots": 60,
                "state": self.state, "cold_remaining_ms": self.cold_ms,
                "sequence": sequence or self.sequence, "born": self.born}
        fields.update(change)
        return "/instances/%s/" % self.id, json.dumps(fields)

    def post(self, verb, sequence=None):
        path, text = self.statement(sequence)
        return self.fleet.control_request("POST", path + verb, text)

    def stop(self):
        self.stopped.set()
        self.socket.close()

    def accept_connections(self):
        while not self.stopped.is_set():
            try:
                conn, _ = self.socket.accept()
            except OSError:
                self.stopped.wait(0.02)
                continue
            self.connections.add(conn)
            threading.Thread(target=self.serve, args=(conn,),
                             daemon=True).start()

    def crash(self, keep_id=False):
        """Closes all connections; a new life begins after a pause, with a new
        id unless @keep_id."""
        with Target.lock:
            if self.socket.fileno() < 0:
                return
            Target.crashes.append(time.time())
            self.lives += 1  # no thread answers between the first close and the last
            self.socket.shutdown(socket.SHUT_RDWR)
            self.socket.close()
            open_now, self.connections = self.connections, set()
        for conn in open_now:
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        time.sleep(CRASH_PAUSE_S)
        if not keep_id:
            self.id = "%s-life%d" % (self.id.split("-life")[0], self.lives)
        self.says = ""
        self.born, self.sequence = time.time_ns() // 10**6, 0
        self.socket = socket.create_server((self.host, self.port))

    def fall_silent(self):
        """Ends without closing a connection; after SILENCE_S, a new life with a
        new id begins at the address."""
        with Target.lock:
            if self.silent:
                return
            self.silent = True
            Target.crashes.append(time.time())
            self.connections = set()
        time.sleep(SILENCE_S)
        self.lives += 1
        self.id = "%s-life%d" % (self.id.split("-life")[0], self.lives)
        self.born, self.sequence = time.time_ns() // 10**6, 0
        self.silent = False

    def serve(self, conn):
        data = b""
        life = self.lives
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    more = conn.recv(65536)
                    if not more:
                        return
                    data += more
                head, data = data.split(b"\r\n\r\n", 1)
                if head.startswith(b"GET /healthz "):
                    if not self.answer_check(conn, life):
                        return
                    continue
                fields = dict(re.findall(r"([^:\r\n]+): ([^\r\n]*)",
                                         head.decode().split("\r\n", 1)[1]))
                size = int(fields.get("Content-Length", "0"))
                # A target that begins late to read a long body.
                time.sleep(float(fields.get("X-Read-After", "0")))
                while len(data) < size:
                    data += conn.recv(65536)
                body, data = data[:size], data[size:]
                if self.silent or life != self.lives:
                    self.stopped.wait(30)
                    return
                if not self.answer(conn, fields, body):
                    return
        except OSError:
            pass
        finally:
            self.connections.discard(conn)
            conn.close()

    def answer_check(self, conn, life):
        """Answers a health check."""
        if self.silent or life != self.lives:
            self.stopped.wait(30)
            return False
        with Target.lock:
            Target.checks.append((self.id, time.time()))
        conn.sendall(("HTTP/1.1 200 OK\r\nX-Quetzalgate-Instance-Id: %s\r\n"
                      "Content-Length: 0\r\n\r\n" % self.id).encode())
        return True

    def record_arrival(self, attempt):
        Target.arrivals.append((self.id, attempt, time.time()))

    def record_run(self, attempt, fields, body):
        """Returns whether it is the first run of the attempt."""
        with Target.lock:
            runs = Target.runs.setdefault(attempt, [])
            runs.append((self.id, fields, body, time.time()))
            return len(runs) == 1

    def answer(self, conn, fields, body):
        attempt = fields.get("X-Quetzalgate-Attempt-Id", "")
        behavior = self.fixed_behavior or fields.get(BEHAVIOR_HEADER, "ok")
        if conn in self.late_copies:
            conn.sendall(self.late_copies.pop(conn))
        if conn in self.half_sent:
            self.half_sent.discard(conn)
            conn.sendall(b"\r\nwrong")
        says = self.says
        if self.weights is not None:
            says += "X-Quetzalgate-Weight-Versions: %d\r\n" % self.weights
        self.record_arrival(attempt)
        echo = "X-Quetzalgate-Attempt-Id: %s\r\n%s" % (attempt, says)
        seal = echo + "X-Quetzalgate-Response-Seal: s.%s\r\n" % self.id
        if fields.get("X-Quetzalgate-Expect-Instance") != self.id:
            conn.sendall(("HTTP/1.1 421 No\r\n%sContent-Length: 0\r\n\r\n"
                          % echo).encode())
            return True
        expected = fields.get("X-Quetzalgate-Expect-Version")
        if (self.weights is not None and self.honours_weights
                and expected not in (None, str(self.weights))):
            conn.sendall(("HTTP/1.1 421 No\r\n%sX-Quetzalgate-Not-Executed: "
                          "1\r\nContent-Length: 0\r\n\r\n" % echo).encode())
            return True
        if self.turns_away:
            conn.sendall(("HTTP/1.1 503 Full\r\n%sX-Quetzalgate-Not-Executed: "
                          "1\r\nContent-Length: 0\r\n\r\n" % echo).encode())
            return True
        if behavior.startswith("refuse-"):
            self.refuse_with_copy(conn, attempt, echo, behavior)
            return True
        if behavior == "full":
            conn.sendall(("HTTP/1.1 503 Full\r\n%sX-Quetzalgate-Not-Executed: "
                          "1\r\nContent-Length: 0\r\n\r\n" % echo).encode())
            return True
        first = self.record_run(attempt, fields, body)
        if Target.deadly_part in re.findall(
                r"([0-9a-f]+):", fields.get("X-Quetzalgate-Prefix-Hash", "")):
            self.stream(conn, seal, 0, 2, whole=False, pause=0.03)
            self.crash()
            return False
        if behavior == "die":
            self.crash()
            return False
        if behavior == "hush":
            self.fall_silent()
            self.stopped.wait(30)
            return False
        if behavior == "reset" or (behavior == "reset-once" and first):
            return False
        if behavior.startswith("then-") and not first:
            self.answer_badly(conn, seal, echo, behavior[5:])
            return False
        if behavior.startswith("then-"):
            self.stream(conn, seal, 0, 3, whole=False)
            return False
        if behavior.startswith("head-"):
            return self.stop_in_head(conn, seal, int(behavior[5:]))
        if behavior.startswith("nobody-"):  # a head with nothing behind it
            status, framing = behavior[7:].split("-")
            conn.sendall(("HTTP/1.1 %s OK\r\n%s%s\r\n" % (status, seal, {
                "none": "", "length": "Content-Length: 10\r\n",
                "chunked": "Transfer-Encoding: chunked\r\n"}[framing]))
                .encode())
            return True
        if behavior == "growing-event":  # sends until the relay closes
            conn.sendall(("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-"
                          "stream\r\n\r\nid: 1\ndata: " % seal).encode())
            while True:
                conn.sendall(b"more" * 4096)
                time.sleep(0.008)
        if behavior.startswith("long-"):
            conn.sendall(("HTTP/1.1 200 OK\r\n%sContent-Length: %s\r\n\r\n"
                          % (seal, behavior[5:])).encode()
                         + b"a" * int(behavior[5:]))
            return True
        if behavior.startswith("bare-"):
            conn.sendall(("HTTP/1.1 %s No\r\n%sContent-Length: 0\r\n\r\n"
                          % (behavior[5:], seal)).encode())
            return True
        work_s = {"slow": 1.5, "brief": 0.05}.get(behavior, 0)
        if work_s > 0 and not self.work(conn, attempt, work_s):
            return False
        stream, _, framing = behavior.partition("-")
        chunked = framing != "unframed"
        start = int(fields.get("Last-Event-Id", "0"))
        done = self.answer_out_of_order(conn, seal, echo, behavior, start, first)
        if done is not None:
            return done
        if stream == "stream" or (stream in ("break", "quit") and not first):
            self.stream(conn, seal, start, 6, whole=True, chunked=chunked)
            return chunked
        if behavior == "trickle":
            self.stream(conn, seal, 0, 60, whole=True, pause=0.055)
            return True
        if stream == "restart" and not first:  # ignores Last-Event-Id
            self.stream(conn, seal, 0, 6, whole=True)
            return True
        if stream == "unnumbered":
            self.stream(conn, seal, 0, 3, whole=False, numbered=False)
            return False
        if stream in ("break", "restart"):
            self.stream(conn, seal, start, start + 3, whole=False,
                        chunked=chunked)
            return False
        if stream == "quit":  # after the head, before the first event
            self.stream(conn, seal, start, start, whole=False,
                        chunked=chunked)
            return False
        if behavior.startswith("endless-") and (
                first or behavior in ("endless-body", "endless-event")):
            return self.send_without_end(conn, seal, behavior)
        if behavior == "comments":
            conn.sendall(("HTTP/1.1 200 OK\r\n%s\r\n" % seal).encode())
            while True:
                conn.sendall(b": still here\n\n")
                time.sleep(0.1)
        text = ("answer to " + attempt).encode()
        length = len(text) + (10 if behavior == "short" else 0)
        if behavior == "extra":  # an answer to another attempt comes first
            conn.sendall(b"HTTP/1.1 200 OK\r\nX-Quetzalgate-Attempt-Id: other"
                         b"\r\nX-Quetzalgate-Response-Seal: s\r\n"
                         b"Content-Length: 5\r\n\r\nwrong")
        if behavior == "noseal":
            seal = echo
        status = 500 if behavior == "error" else 200
        framing = ("" if behavior in ("unframed", "reset-body") else
                   "Content-Length: %d\r\n" % length)
        conn.sendall(("HTTP/1.1 %d OK\r\n%s%s\r\n" % (status, seal, framing))
                     .encode() + text)
        stray = (b"HTTP/1.1 200 OK\r\nX-Quetzalgate-Response-Seal: s\r\n"
                 b"Content-Length: 5\r\n")
        if behavior == "copy":
            conn.sendall(stray + b"\r\nwrong")
        if behavior == "reset-body":
            time.sleep(0.1)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
            return False
        if behavior == "late-half":
            conn.sendall(stray)
            self.half_sent.add(conn)
        return behavior not in ("short", "unframed")

    def refuse_with_copy(self, conn, attempt, echo, behavior):
        """Refuses a request, and writes the refusal once more: "named" with the
        id of its request, "bare" without an id; "late" only when the next
        request has come."""
        named = "bare" not in behavior
        refusal = ("HTTP/1.1 503 Full\r\n%sX-Quetzalgate-Not-Executed: 1\r\n"
                   "Content-Length: 0\r\n\r\n" % (echo if named else ""))
        conn.sendall(refusal.encode())
        if "late" in behavior:
            self.late_copies[conn] = refusal.encode()
        else:
            conn.sendall(refusal.encode())

    def answer_badly(self, conn, seal, echo, how):
        """An answer that does not continue a stream."""
        page = "data: wrong\n\n"
        framing = "Content-Length: %d\r\n\r\n%s" % (len(page), page)
        conn.sendall({
            "error": "HTTP/1.1 500 Error\r\n" + seal + framing,
            "missing": "HTTP/1.1 404 Not Found\r\n" + seal + framing,
            "moved": "HTTP/1.1 302 Found\r\nLocation: /\r\n" + seal + framing,
            "refusal": "HTTP/1.1 503 Full\r\n" + echo
                       + "X-Quetzalgate-Not-Executed: 1\r\n" + framing,
            "page": "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n" + seal
                    + framing,
            "unsealed": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        + echo + framing,
            "head": "HTTP/1.1 200 OK\r\nContent-Type: text/event-str",
            "bytes": "HTTP/1.0\r\n\r\nwrong"}[how].encode())

    def stop_in_head(self, conn, seal, size):
        """Sends the first @size bytes of an answer's head, and closes."""
        head = ("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" % seal).encode()
        conn.sendall(head[:min(size, len(head) - 1)])
        return False

    def send_without_end(self, conn, seal, behavior):
        """Sends until the relay closes the connection."""
        start, more = {
            "endless-head": (b"HTTP/1.1 200 OK\r\n", b"X-A: aaaaaaaaaaaaaa\r\n"),
            "endless-interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            "endless-garbage": (b"", b"\x00\x01garbage\n"),
            "endless-copy": (b"HTTP/1.1 200 OK\r\nX-Quetzalgate-Attempt-Id: other"
                             b"\r\nX-Quetzalgate-Response-Seal: s\r\n\r\n",
                             b"wrong"),
            "endless-event": (("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-"
                               "stream\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: "
                               % seal).encode(), b"more"),
            "endless-body": (("HTTP/1.1 200 OK\r\n%s\r\n" % seal).encode(),
                             b"more"),
        }[behavior]
        conn.sendall(start)
        while True:
            conn.sendall(more * 1000)

    def work(self, conn, attempt, seconds):
        """Returns False early if the caller closes the connection."""
        end = time.time() + seconds
        conn.settimeout(0.02)
        while time.time() < end:
            try:
                if conn.recv(1, socket.MSG_PEEK) == b"":
                    Target.cancelled[attempt] = time.time()
                    return False
            except socket.timeout:
                pass
        conn.settimeout(None)
        return True

    def answer_out_of_order(self, conn, seal, echo, behavior, start, first):
        """Events that are not in order, in the first run, the second or all;
        None for other behaviors."""
        what, _, ids = behavior.partition("-")
        if what == "tens":  # numbers its events 10, 20, ...
            ids = ".".join(str(n) for n in range(start + 10, 61, 10))
            return self.send_events(conn, seal, "10.20.30!" if first else ids)
        if what == "twice":
            return self.send_events(conn, seal, "1.2.3!" if first else ids)
        if what == "always" or (what in ("ids", "burst") and first):
            return self.send_events(conn, seal, ids, what == "burst")
        if what == "copied" and start == 0:  # again before the next answer
            self.late_copies[conn] = self.send_events(conn, seal, "1.2.3.4.5.6")
            return True
        if what == "page" and first:
            self.answer_badly(conn, seal, echo, "page")
            return True
        if what in ("ids", "burst", "copied", "page"):
            self.stream(conn, seal, start, 6, whole=True)
            return True
        return None

    def send_events(self, conn, seal, ids, at_once=False):
        """Sends a stream of the events @ids, "1.2.-.3!": "-" has no id, and a
        stream that ends with "!" breaks within the next event. Returns the
        answer, empty if it breaks."""
        events = [event_of(n) for n in ids.rstrip("!").split(".")]
        if ids.endswith("!"):
            events.append(b"id: 9")
        events = [b"%x\r\n%s\r\n" % (len(e), e) for e in events]
        if not ids.endswith("!"):
            events.append(b"0\r\n\r\n")
        head = ("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n" % seal).encode()
        for data in [head] + ([b"".join(events)] if at_once else events):
            conn.sendall(data)
            time.sleep(0.01)
        return b"" if ids.endswith("!") else head + b"".join(events)

    def stream(self, conn, seal, start, stop, whole, pause=0.01,
               chunked=True, numbered=True):
        """Sends the events after @start up to @stop. Without chunks, the
        stream ends with the connection."""
        conn.sendall(("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n"
                      "%s\r\n" % (seal, "Transfer-Encoding: chunked\r\n"
                                  if chunked else "")).encode())
        for n in range(start + 1, stop + 1):
            piece = ("id: %d\n" % n if numbered else "").encode()
            piece += b"data: p%d\n\n" % n
            if not whole and n == stop:
                piece = piece[:-4]  # the stream breaks within an event
            conn.sendall(b"%x\r\n%s\r\n" % (len(piece), piece) if chunked
                         else piece)
            time.sleep(pause)
        if whole and chunked:
            conn.sendall(b"0\r\n\r\n")


class Fleet:
    def __init__(self, build, retry_extra=100, memory_mb=None, proxied=False,
                 retry_window_s=1, relays=(5, 6), control_settings="",
                 key_lease_ms=5000):
        """@proxied: the processes connect to each other through proxies, at
        addresses that have 100 added to their last number. @control_settings:
        lines added to [control]."""
        self.control_settings = control_settings
        self.key_lease_ms = key_lease_ms  # of relays
        self.build, self.retry_extra, self.relays = build, retry_extra, relays
        self.retry_window_s = retry_window_s
        self.shift, self.proxies = 100 if proxied else 0, {}
        self.memory_mb = memory_mb  # of relays; None: the default
        self.port, self.port_lock = claim_ports()
        self.dir = tempfile.mkdtemp(prefix="qg-relay-")
        self.key = os.path.join(self.dir, "key")
        self.processes, self.targets = {}, []
        self.members = (2, 3, 4)  # control members, for processes that start
        self.version = 0
        with open(self.key, "w") as out:
            out.write("0123456789abcdef0123456789abcdef\n")

    def common_settings(self, name, role, dc):
        return ("[daemon]\nname=%s\nroles=%s\ndc=%s\nregion=r-%s\n"
                "fleet_key_file=%s\nlog_format=json\n"
                "[peers]\nseeds=%s\nseed_port=%d\n" % (
                    name, role, dc, dc, self.key,
                    ",".join("127.0.0.%d:1" % (self.shift + n)
                             for n in self.members), self.port))

    def peer_address(self, n, port):
        """The setting for the address of process n behind its proxy."""
        if not self.shift:
            return ""
        address = ("127.0.0.%d" % (self.shift + n), port)
        if n not in self.proxies:
            self.proxies[n] = PeerProxy(address, ("127.0.0.%d" % n, port))
        return "peer_address=%s:%d\n" % address

    def start(self, name, text):
        path = os.path.join(self.dir, name + ".ini")
        with open(path, "w") as out:
            out.write(text)
        log = open(os.path.join(self.dir, name + ".log"), "a")
        self.processes[name] = subprocess.Popen(
            [os.path.join(self.build, "quetzalgated"), path], stdout=log,
            stderr=log)

    def control(self, n, bootstrap="no", tolerate=1):
        ip = "127.0.0.%d" % n
        name = "127.0.0.%d" % (self.shift + n)
        self.start(ip, self.common_settings(name, "control", "dc%d" % (n % 3))
                   + "[control]\npeer_listen=%s:%d\npublic_listen=%s:%d\n"
                   "data_folder=%s/data-%s\nbootstrap=%s\ntolerate=%d\n"
                   "beat_ms=400\n" % (ip, self.port, name, self.port + 1,
                                      self.dir, ip, bootstrap, tolerate)
                   + self.control_settings
                   + self.peer_address(n, self.port))

    def relay(self, n, dc="dc0"):
        ip = "127.0.0.%d" % n
        self.start("relay-%d" % n,
                   self.common_settings("relay-%d" % n, "relay", dc)
                   + "[relay]\nlisten=%s:%d\nready_listen=%s:%d\n"
                   "peer_listen=%s:%d\nkey_lease_ms=%d\ngrace_s=6\n"
                   "retry_extra=%d\nretry_window_s=%g\n"
                   "dc_regions=dc0:r-dc0,dc1:r-dc1,dc2:r-dc2\n"
                   % (ip, self.port + 2, ip, self.port + 3, ip,
                      self.port + 4, self.key_lease_ms, self.retry_extra,
                      self.retry_window_s)
                   + ("memory_mb=%d\n" % self.memory_mb
                      if self.memory_mb else "")
                   + self.peer_address(n, self.port + 4))

    def control_request(self, method, path, text=None, members=None):
        """Sends a request to the leader; (status, body), or None."""
        for n in members or self.members:
            address = "127.0.0.%d:%d" % (self.shift + n, self.port + 1)
            for _ in range(3):
                try:
                    conn = http.client.HTTPConnection(address, timeout=2)
                    conn.request(method, path, text)
                    answer = conn.getresponse()
                    body = answer.read()
                    conn.close()
                except (OSError, http.client.HTTPException):
                    break
                if answer.status != 307:
                    if answer.status < 500:
                        return answer.status, body
                    break
                address = answer.getheader("Location")[7:].split("/")[0]
        return None

    def leader(self):
        for n in self.members:
            try:
                conn = http.client.HTTPConnection(
                    "127.0.0.%d" % (self.shift + n), self.port + 1, timeout=1)
                conn.request("GET", "/configuration/fetch")
                if conn.getresponse().status == 200:
                    return n
            except (OSError, http.client.HTTPException):
                pass
        return None

    def manifest(self, **change):
        self.version += 3
        routes = [
            {"name": kind, "hostname": "h.example", "path_prefix": "/%s/" % kind,
             "route_type": kind if kind != "resume" else "streaming",
             "timeout_ms": 4000, "target_latency_ms": 500, "priority": 1,
             "backend": "app", "max_attempts": 2, "anonymous": False,
             "stream_resume": kind == "resume", "allowed_regions": []}
            for kind in ("safe", "unsafe", "streaming", "resume")]
        whole = {
            "version": self.version, "routes": routes,
            "backends": [{"name": "app", "health_check": "/healthz",
                          "max_connections": 100, "cold_start_s": 0.0,
                          "cold_per_s": 0.0}],
            "limits": {"max_header_bytes": 8192, "max_body_bytes": 100000,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": "one", "api_keys": [KEY, "k-old"]}]}
        whole.update(change)
        return json.dumps(whole)

    def put_manifest(self, text):
        wait_for("the manifest is accepted",
                 lambda: (self.control_request(
                     "POST", "/configuration/replace", text)
                     or (0,))[0] == 200)

    def ready(self, n):
        conn = http.client.HTTPConnection("127.0.0.%d" % n, self.port + 3,
                                          timeout=1)
        conn.request("GET", "/readyz")
        status = conn.getresponse().status
        conn.close()
        return status == 200

    def start_all(self, n_targets=3):
        for n in (2, 3, 4):
            self.control(n, "yes")
        for n in self.relays:
            self.relay(n)
        self.put_manifest(self.manifest())
        self.targets = [Target(self, n, "app", "dc%d" % n)
                        for n in range(n_targets)]
        for n in self.relays:
            wait_for("relay %d is ready" % n, lambda: self.ready(n))
        wait_for("all targets are known",
                 lambda: all(self.call("safe", attempt="w%d" % i)[0] == 200
                             for i in range(8)))
        # A single target pauses after a failure, so that no resend is in time.
        if self.retry_window_s <= 1 and n_targets > 1:
            self.wait_for_resends()

    def wait_for_resends(self):
        """Relays that have started use their part of the retry budget once what
        their predecessors may have used is past."""
        def is_settled(n):
            name = "again%d" % time.time_ns()
            # The same body would be quarantined where there are many targets.
            self.call("safe", "reset-once", name, body=name, relay=n)
            with open(os.path.join(self.dir, "relay-%d.log" % n)) as log:
                return "settled=1" in log.read()

        for n in self.relays:
            wait_for("relay %d resends" % n, lambda: is_settled(n))

    def call(self, route, behavior="ok", attempt="a", key=KEY, body="x",
             relay=5, timeout_ms=3000, headers=None, path=None):
        """(status, body, headers); status 0 when the connection broke."""
        conn = http.client.HTTPConnection("127.0.0.%d" % relay, self.port + 2,
                                          timeout=8)
        fields = {"Host": "h.example", "X-Quetzalgate-Attempt-Id": attempt,
                  "X-Quetzalgate-Deadline-Ms": str(timeout_ms),
                  BEHAVIOR_HEADER: behavior}
        if key is not None:
            fields["X-Quetzalgate-Key"] = key
        fields.update(headers or {})
        try:
            conn.request("POST", path or "/%s/x" % route, body, fields)
            answer = conn.getresponse()
            return answer.status, answer.read(), answer.headers
        except (OSError, http.client.HTTPException) as error:
            return 0, getattr(error, "partial", b""), {}
        finally:
            conn.close()

    def kill(self, name, how=signal.SIGKILL):
        self.processes[name].send_signal(how)
        if how == signal.SIGKILL:
            self.processes[name].wait()

    def stop_all(self):
        for target in self.targets:
            target.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        self.port_lock.close()

    def print_logs(self):
        for name in sorted(os.listdir(self.dir)):
            if name.endswith(".log"):
                with open(os.path.join(self.dir, name)) as text:
                    for line in text.readlines()[-15:]:
                        print(name, line.rstrip()[:300])


def run_checks(build, checks, n_targets=3, **options):
    """Runs functions that take a fleet, one after the other, on one fleet."""
    fleet = Fleet(build, **options)
    try:
        fleet.start_all(n_targets)
        for check in checks:
            check(fleet)
            print(check.__name__, "ok")
    except BaseException:
        fleet.print_logs()
        raise
    finally:
        fleet.stop_all()
