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
import threading
import time

KEY = "hall-7-key"


class Target(http.server.ThreadingHTTPServer):
    """Runs bookings; `runs` maps a key to how often its work was begun."""
    daemon_threads = True
    runs = {}
    lock = threading.Lock()

    def __init__(self):
        super().__init__(("127.0.0.1", 0), Booking)
        self.port = self.server_address[1]
        self.open = set()
        self.down_until = 0.0
        self.crashes = 0
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        pass

    def crash(self):
        """All connections end at once, new ones for a while too."""
        with Target.lock:
            self.down_until = time.monotonic() + 0.3
            self.crashes += 1
            connections, self.open = self.open, set()
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Booking(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def do_GET(self):
        self.answer(b"ok\n")

    def do_POST(self):
        target, key = self.server, self.headers.get("Idempotency-Key", "")
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        with Target.lock:
            if time.monotonic() < target.down_until:
                self.close_connection = True
                return
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

    def answer(self, body):
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        for i in range(0, len(body), 400):
            self.wfile.write(body[i:i + 400])
            self.wfile.flush()
            time.sleep(0.01)


def whole_of(key):
    return ("booked %s " % key).encode() * 50


def free_ports(n):
    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(n)]
    ports = [s.getsockname()[1] for s in held]
    for s in held:
        s.close()
    return ports


def ini(*groups):
    return "\n".join("[%s]\n%s\n" % (name, "".join("%s=%s\n" % row for row in rows))
                     for name, rows in groups)


class Fleet:
    def __init__(self, build, folder):
        self.build, self.folder, self.procs = build, folder, {}
        ports = free_ports(11)
        self.controls = {"c%d" % i: ports[i] for i in range(3)}
        self.entries = {"e%d" % i: (ports[3 + 2 * i], ports[4 + 2 * i]) for i in range(2)}
        self.admins = {"e0": ports[7], "e1": ports[8]}
        self.targets = {"a%d" % i: Target() for i in range(3)}
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
        for name, (port, peer) in self.entries.items():
            self.settings(name, "entry", ("entry", [
                ("listen", "127.0.0.1:%d" % port), ("peer_listen", "127.0.0.1:%d" % peer)]))
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

    def book(self, entry, key, body="{}", timeout=8.0):
        """(status, run, body): status 0 when the connection broke."""
        connection = http.client.HTTPConnection("127.0.0.1", self.entries[entry][0],
                                                timeout=timeout)
        headers = {"Authorization": "Bearer " + KEY}
        if key:
            headers["Idempotency-Key"] = key
        try:
            connection.request("POST", "/services/bookings/book", body, headers)
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
