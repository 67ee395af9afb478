"""A small fleet on loopback for tests of at-most-once execution: three control
members, two entries and three agents, one process each. The targets run inside
the test and count the runs of each request."""
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

from peer_proxy import PeerProxy

KEY = "hall-7-key"


class Target(http.server.ThreadingHTTPServer):
    """Runs bookings, the requests that may run at most once; `runs` maps a key to
    the number of runs started."""
    daemon_threads = True
    runs = {}
    lock = threading.Lock()

    def __init__(self, port):
        super().__init__(("127.0.0.1", port), self.handler)
        self.port = port
        self.open = set()
        self.crashes = 0
        self.early_crashes = 0  # crashes with no request finished since the previous one
        self.finished = 0
        self.closed = False
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.closed:
            crashes = self.crashes
            try:
                connection, address = self.socket.accept()
                with Target.lock:
                    crashed = crashes != self.crashes
                    if not crashed:
                        self.open.add(connection)
                if crashed:
                    connection.close()
                else:
                    self.process_request(connection, address)
            except OSError:  # crash() closed the socket: listen again after a pause
                self.socket.close()
                time.sleep(0.3)
                if not self.closed:
                    self.socket = socket.create_server(("127.0.0.1", self.port))

    def shutdown_request(self, request):
        with Target.lock:
            self.open.discard(request)
        super().shutdown_request(request)

    def close(self):
        """Stops listening for good."""
        self.closed = True
        self.shut_down(self.socket)

    def handle_error(self, request, client_address):
        pass

    def crash(self):
        """Closes all connections and the listening socket."""
        with Target.lock:
            self.crashes += 1
            self.early_crashes += self.finished == 0
            self.finished = 0
            connections, self.open = self.open, set()
        for connection in [self.socket, *connections]:
            self.shut_down(connection)

    @staticmethod
    def shut_down(connection):
        try:
            connection.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


class BookingHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def do_GET(self):
        key = self.headers.get("X-Key")
        if key is None:  # a health check
            self.answer(b"ok\n")
            return
        with Target.lock:
            Target.runs[key] = Target.runs.get(key, 0) + 1
        self.answer(expected_body(key) * 10)

    def do_POST(self):
        target, key = self.server, self.headers.get("Idempotency-Key", "")
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        with Target.lock:
            Target.runs[key] = Target.runs.get(key, 0) + 1
        if b"poison" in body:
            time.sleep(0.05)
            target.crash()
            return
        time.sleep(0.15)
        self.answer(expected_body(key))
        with Target.lock:
            target.finished += 1

    def answer(self, body):
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        for i in range(0, len(body), 400):
            self.wfile.write(body[i:i + 400])
            self.wfile.flush()
            time.sleep(0.01)


Target.handler = BookingHandler


class Relay:
    """Forwards connections to a port until they are cut."""

    def __init__(self, port, to_port):
        self.port, self.to_port, self.open, self.lock = port, to_port, set(), threading.Lock()
        self.down = False  # closes new connections
        self.listener = socket.create_server(("127.0.0.1", port))
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client = self.listener.accept()[0]
            if self.down:
                client.close()
                continue
            try:
                upstream = socket.create_connection(("127.0.0.1", self.to_port))
            except OSError:
                client.close()
                continue
            with self.lock:
                self.open |= {client, upstream}
            for sockets in ((client, upstream), (upstream, client)):
                threading.Thread(target=self.forward, args=sockets, daemon=True).start()

    def forward(self, source, sink):
        try:
            while data := source.recv(4096):
                sink.sendall(data)
        except OSError:
            pass
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def cut(self):
        """Closes all connections and returns how many were open."""
        with self.lock:
            sockets, self.open = self.open, set()
        for sock in sockets:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()
        return len(sockets) // 2


def expected_body(key):
    return ("booked %s " % key).encode() * 50


def free_ports(n):
    """Returns ports below the ephemeral range, so that no connection takes one while
    its process is down; the start depends on the pid, for concurrent test runs."""
    ports, port = [], 10000 + os.getpid() * 25 % 20000
    while len(ports) < n:
        port += 1
        try:
            socket.create_server(("127.0.0.1", port)).close()
            ports.append(port)
        except OSError:
            pass
    return ports


def format_ini(*groups):
    return "\n".join("[%s]\n%s\n" % (name, "".join("%s=%s\n" % row for row in rows))
                     for name, rows in groups)


class Fleet:
    agent_settings = []  # further settings of each agent
    retry_percent = 50

    def __init__(self, build, folder, relays=False, make_target=Target, proxied=False):
        """With @proxied, connections to control members and entries pass self.proxies."""
        self.build, self.folder, self.procs = build, folder, {}
        ports = free_ports(22)
        self.controls = {"c%d" % i: ports[i] for i in range(3)}
        self.entries = {"e%d" % i: (ports[3 + 2 * i], ports[4 + 2 * i]) for i in range(2)}
        self.admins = {"e0": ports[7], "e1": ports[8]}
        self.operators = {"c%d" % i: ports[19 + i] for i in range(3)}
        self.targets = {"a%d" % i: make_target(ports[9 + i]) for i in range(3)}
        self.write("fleet.key", "0123456789abcdef0123456789abcdef\n")
        os.chmod(self.path("fleet.key"), 0o600)
        self.write("doc.ini", format_ini(
            ("dc local", [("region", "local"), ("state", "in")]),
            ("service bookings", [("kind", "plain"), ("once", "POST"), ("slots", 6),
                                  ("cold_slots", 3), ("deadline_ms", 6000),
                                  ("retry_percent", self.retry_percent)]),
            ("service drafts", [("kind", "plain"), ("slots", 6), ("cold_slots", 3)]),
            ("workspace hall-7", [("weight", 1), ("queue_limit", 500),
                                  ("key_sha256", hashlib.sha256(KEY.encode()).hexdigest())]),
            ("grant hall-7", [("services", "bookings;drafts")])))
        peer_ports = {**self.controls, **{name: peer for name, (_, peer) in self.entries.items()}}
        self.proxies = {}
        if proxied:
            for port, (name, peer) in zip(ports[14:], peer_ports.items()):
                self.proxies[name] = PeerProxy(("127.0.0.1", port), ("127.0.0.1", peer))
                peer_ports[name] = port
        self.peer_ports = peer_ports  # at which other processes reach them
        for name, port in self.controls.items():
            self.write_settings(name, "control", ("control", [
                ("peer_listen", "127.0.0.1:%d" % port),
                ("peer_address", "127.0.0.1:%d" % peer_ports[name]),
                ("operator_listen", "127.0.0.1:%d" % self.operators[name]),
                ("data_folder", self.path(name)),
                ("document", self.path("doc.ini")),
                ("bootstrap", "yes" if name == "c0" else "no")]))
        self.relays = {name: Relay(ports[12 + i], peer)
                       for i, (name, (_, peer)) in enumerate(self.entries.items()) if relays}
        for name, (port, peer) in self.entries.items():
            advertised_port = self.relays[name].port if relays else peer_ports[name]
            self.write_settings(name, "entry", ("entry", [
                ("listen", "127.0.0.1:%d" % port), ("peer_listen", "127.0.0.1:%d" % peer),
                ("peer_address", "127.0.0.1:%d" % advertised_port)]))
        for name, target in self.targets.items():
            self.write_settings("d" + name, "agent", ("agent " + name, [
                ("service", "bookings"), ("target", "127.0.0.1:%d" % target.port),
                *self.agent_settings]))

    def path(self, name):
        return os.path.join(self.folder, name)

    def write(self, name, text):
        with open(self.path(name), "w") as out:
            out.write(text)

    def operate(self, *arguments):
        """Runs the operators' tool; returns what it printed."""
        control = ";".join("127.0.0.1:%d" % port for port in self.operators.values())
        done = subprocess.run(
            [os.path.join(self.build, "quetzalgate"), *arguments],
            env={**os.environ, "QUETZALGATE_CONTROL": control, "QUETZALGATE_KEY": KEY},
            capture_output=True, text=True, check=False)
        assert done.returncode == 0, (arguments, done.stdout, done.stderr)
        return done.stdout

    def apply(self, *groups, remove=()):
        """Adds or replaces sections of the document."""
        self.write("change.ini", self.operate("get").splitlines()[0] + "\n"
                   + format_ini(*groups))
        self.operate("apply", self.path("change.ini"), "--partial",
                     *(word for name in remove for word in ("--remove", name)))

    def write_settings(self, name, role, group):
        members = ";".join("%s@127.0.0.1:%d" % (m, self.peer_ports[m]) for m in self.controls)
        daemon = [("name", name), ("roles", role), ("dc", "local"), ("region", "local"),
                  ("fleet_key_file", self.path("fleet.key"))]
        if name in self.admins:
            daemon.append(("admin_listen", "127.0.0.1:%d" % self.admins[name]))
        operator = [("operator ops", [("key_sha256", hashlib.sha256(KEY.encode()).hexdigest()),
                                      ("teams", "workspaces;dcs;services")])]
        self.write(name + ".ini", format_ini(("daemon", daemon),
                                             ("peers", [("control", members)]), group,
                                             *(operator if role == "control" else [])))

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
        for target in self.targets.values():
            target.close()

    def send_booking(self, entry, key, body="{}", method="POST", timeout=8.0, token=KEY):
        """Returns (status, run, body), status 0 when the connection broke. A GET is an
        idempotent request with a streamed answer, no booking."""
        connection = http.client.HTTPConnection("127.0.0.1", self.entries[entry][0],
                                                timeout=timeout)
        headers = {"Authorization": "Bearer " + token}
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
            if all(self.send_booking(e, "ready-%s-%d" % (e, n))[0] == 200 for e in self.entries):
                return True
            time.sleep(0.2)
        return False

    def log_has(self, name, text, seconds):
        """Waits until the log of a process contains a text."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with open(self.path(name + ".log")) as log:
                if text in log.read():
                    return True
            time.sleep(0.05)
        return False

    def print_logs(self):
        for name in sorted(self.procs):
            with open(self.path(name + ".log")) as log:
                sys.stderr.write("== %s\n%s" % (name, "".join(log.readlines()[-8:])))


def with_fleet(run_test, relays=False, make_target=Target, names=(), proxied=False):
    """Runs run_test with a fleet that is ready and stops the fleet; returns the exit
    code. Without names, all processes of the fleet are started."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(sys.argv[1], folder, relays, make_target, proxied)
        try:
            if names:
                fleet.start(*names)
            else:
                fleet.start_all()
            if fleet.wait_ready():
                return run_test(fleet)
            fleet.print_logs()
            print("FAILED: the fleet is not ready")
            return 1
        finally:
            fleet.stop()
