"""A small fleet on loopback for tests of at-most-once work: three control
members, two entries and three agents, each a process of its own, with targets
inside the test, which count what they run."""
import hashlib
import http.client
import http.server
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import time

KEY = "hall-7-key"


class Target(http.server.ThreadingHTTPServer):
    """Runs bookings; `runs` maps a key to how often its work was begun."""
    daemon_threads = True
    runs = {}
    lock = threading.Lock()

    def __init__(self, port):
        super().__init__(("127.0.0.1", port), Booking)
        self.port = port
        self.open = set()
        self.crashes = 0
        self.unsound = 0  # crashes before anything was finished since the last
        self.finished = 0
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                self.process_request(*self.socket.accept())
            except OSError:  # it crashed: nothing listens for a while
                self.socket.close()
                time.sleep(0.3)
                self.socket = socket.create_server(("127.0.0.1", self.port))

    def handle_error(self, request, client_address):
        pass

    def crash(self):
        """All connections end at once, and nothing listens."""
        with Target.lock:
            self.crashes += 1
            self.unsound += self.finished == 0
            self.finished = 0
            connections, self.open = self.open, set()
        for connection in [self.socket, *connections]:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Booking(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def do_GET(self):
        key = self.headers.get("X-Key")
        if key is None:  # a probe
            self.answer(b"ok\n")
            return
        with Target.lock:
            Target.runs[key] = Target.runs.get(key, 0) + 1
        self.answer(whole_of(key) * 10)

    def do_POST(self):
        target, key = self.server, self.headers.get("Idempotency-Key", "")
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        with Target.lock:
            target.open.add(self.connection)
            Target.runs[key] = Target.runs.get(key, 0) + 1
        if b"poison" in body:
            time.sleep(0.05)
            target.crash()
            return
        time.sleep(0.15)
        self.answer(whole_of(key))
        with Target.lock:
            target.open.discard(self.connection)
            target.finished += 1

    def answer(self, body):
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        for i in range(0, len(body), 400):
            self.wfile.write(body[i:i + 400])
            self.wfile.flush()
            time.sleep(0.01)


class Relay:
    """Passes connections on to a port, until they are cut."""

    def __init__(self, port, to):
        self.port, self.to, self.open, self.lock = port, to, set(), threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", port))
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near = self.listener.accept()[0]
            try:
                far = socket.create_connection(("127.0.0.1", self.to))
            except OSError:
                near.close()
                continue
            with self.lock:
                self.open |= {near, far}
            for ends in ((near, far), (far, near)):
                threading.Thread(target=self.pass_on, args=ends, daemon=True).start()

    def pass_on(self, source, sink):
        try:
            while data := source.recv(4096):
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def cut(self):
        """Ends all connections; the number of links that were open."""
        with self.lock:
            ends, self.open = self.open, set()
        for end in ends:
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()
        return len(ends) // 2


def whole_of(key):
    return ("booked %s " % key).encode() * 50


def free_ports(n):
    """Ports below those that the system gives to connections, which could
    take one while its process is down; by process, for runs side by side."""
    ports, port = [], 10000 + os.getpid() * 20 % 20000
    while len(ports) < n:
        port += 1
        try:
            socket.create_server(("127.0.0.1", port)).close()
            ports.append(port)
        except OSError:
            pass
    return ports


def ini(*groups):
    return "\n".join("[%s]\n%s\n" % (name, "".join("%s=%s\n" % row for row in rows))
                     for name, rows in groups)


class Fleet:
    def __init__(self, build, folder, relays=False):
        self.build, self.folder, self.procs = build, folder, {}
        ports = free_ports(14)
        self.controls = {"c%d" % i: ports[i] for i in range(3)}
        self.entries = {"e%d" % i: (ports[3 + 2 * i], ports[4 + 2 * i]) for i in range(2)}
        self.admins = {"e0": ports[7], "e1": ports[8]}
        self.targets = {"a%d" % i: Target(ports[9 + i]) for i in range(3)}
        self.write("fleet.key", "0123456789abcdef0123456789abcdef\n")
        os.chmod(self.path("fleet.key"), 0o600)
        self.write("doc.ini", ini(
            ("dc local", [("region", "local"), ("state", "in")]),
            ("service bookings", [("kind", "plain"), ("once", "POST"), ("slots", 6),
                                  ("cold_slots", 3), ("deadline_ms", 6000),
                                  ("retry_percent", 50)]),
            ("service drafts", [("kind", "plain"), ("slots", 6), ("cold_slots", 3)]),
            ("workspace hall-7", [("weight", 1), ("queue_limit", 500),
                                  ("key_sha256", hashlib.sha256(KEY.encode()).hexdigest())]),
            ("grant hall-7", [("services", "bookings;drafts")])))
        for name, port in self.controls.items():
            self.settings(name, "control", ("control", [
                ("peer_listen", "127.0.0.1:%d" % port), ("data_folder", self.path(name)),
                ("document", self.path("doc.ini")),
                ("bootstrap", "yes" if name == "c0" else "no")]))
        self.relays = {name: Relay(ports[12 + i], peer)
                       for i, (name, (_, peer)) in enumerate(self.entries.items()) if relays}
        for name, (port, peer) in self.entries.items():
            shown = self.relays[name].port if relays else peer
            self.settings(name, "entry", ("entry", [
                ("listen", "127.0.0.1:%d" % port), ("peer_listen", "127.0.0.1:%d" % peer),
                ("peer_address", "127.0.0.1:%d" % shown)]))
        for name, target in self.targets.items():
            self.settings("d" + name, "agent", ("agent " + name, [
                ("service", "bookings"), ("target", "127.0.0.1:%d" % target.port)]))

    def path(self, name):
        return os.path.join(self.folder, name)

    def write(self, name, text):
        with open(self.path(name), "w") as out:
            out.write(text)

    def settings(self, name, role, group):
        members = ";".join("%s@127.0.0.1:%d" % m for m in self.controls.items())
        daemon = [("name", name), ("roles", role), ("dc", "local"), ("region", "local"),
                  ("fleet_key_file", self.path("fleet.key"))]
        if name in self.admins:
            daemon.append(("admin_listen", "127.0.0.1:%d" % self.admins[name]))
        self.write(name + ".ini", ini(("daemon", daemon), ("peers", [("control", members)]),
                                      group))

    def start(self, *names):
        for name in names:
            log = open(self.path(name + ".log"), "a")
            self.procs[name] = subprocess.Popen(
                [os.path.join(self.build, "quetzalgated"), self.path(name + ".ini")],
                stdout=log, stderr=log)

    def start_all(self):
        self.start(*self.controls, *self.entries, *("d" + a for a in self.targets))

    def kill(self, name):
        self.procs[name].kill()
        self.procs[name].wait()

    def stop(self):
        for proc in self.procs.values():
            proc.kill()
        for proc in self.procs.values():
            proc.wait()

    def book(self, entry, key, body="{}", method="POST", timeout=8.0):
        """(status, run, body): status 0 when the connection broke. By GET it is
        a stream that is no booking."""
        connection = http.client.HTTPConnection("127.0.0.1", self.entries[entry][0],
                                                timeout=timeout)
        headers = {"Authorization": "Bearer " + KEY}
        headers["Idempotency-Key" if method == "POST" else "X-Key"] = key
        body = body if method == "POST" else None
        try:
            connection.request(method, "/services/bookings/book", body, headers)
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException):
            return 0, "", b""
        finally:
            connection.close()
        if response.status == 200:
            return 200, "", data
        try:
            return response.status, json.loads(data).get("run", ""), data
        except ValueError:
            return response.status, "", data

    def wait_ready(self, seconds=25.0):
        end = time.monotonic() + seconds
        n = 0
        while time.monotonic() < end:
            n += 1
            if all(self.book(e, "ready-%s-%d" % (e, n))[0] == 200 for e in self.entries):
                return True
            time.sleep(0.2)
        return False

    def tails(self):
        for name in sorted(self.procs):
            with open(self.path(name + ".log")) as log:
                sys.stderr.write("== %s\n%s" % (name, "".join(log.readlines()[-8:])))


def with_fleet(play, relays=False):
    """Calls play with a fleet that is ready, and ends it; the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(sys.argv[1], folder, relays)
        try:
            fleet.start_all()
            if fleet.wait_ready():
                return play(fleet)
            fleet.tails()
            print("FAILED: the fleet is not ready")
            return 1
        finally:
            fleet.stop()
