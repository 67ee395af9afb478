"""A small deployment on loopback addresses: the programs of the deploy file,
started with the commands and the filled-in settings templates of
deploy/system.toml, and stand-ins for the platform, servers and clients.

Each machine has its own loopback address, because the templates fix some
ports. The stand-ins keep to PROTOCOL.md; what they see goes to record.txt."""
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
KEY = "key-of-tenant-one"

# Settings of a small deployment, from the sheet of derwent-wrap.
BOUNDS = {"retry_budget_ratio": 0.2, "retry_window_s": 10,
          "retry_min_extra": 60, "revoke_timeout_ms": 5000,
          "grace_period_s": 8}
ZONES = {"hobart-a": "tas-south", "launceston-a": "tas-north",
         "melbourne-a": "vic-main"}
HEARTBEAT_MS = 1200
PEER_PORTS = (7410, 7425)
PORTS = {"frontend": 8783, "readiness": 8780, "control_plane": 8785}


class Record:
    """What was sent, answered and run, a line each, with the time."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text, *values):
        with self.lock:
            self.file.write("%9.3f  %s\n" % (self.now(), text % values))
            self.file.flush()


def render(text, fields):
    """Fills in a settings template as DEPLOY.md describes."""
    def lookup(name, scope):
        if name == ".":
            return scope[0].get(".", scope[-1])
        if name == "@":
            return scope[0].get("@")
        for level in scope:
            value = level
            for part in name.split("."):
                if isinstance(value, dict):
                    value = value.get(part)
                elif isinstance(value, list):
                    value = value[int(part)] if part.isdigit() else None
                else:
                    value = None
            if value is not None:
                return value
        return None

    def fill(part, scope):
        section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def expand(match):
            kind, name, inner = match.groups()
            value = lookup(name, scope)
            if kind == "^":
                return "" if value else fill(inner, scope)
            if isinstance(value, dict):
                entries = list(value.items())
            elif isinstance(value, list):
                entries = list(enumerate(value))
            else:
                return fill(inner, scope) if value else ""
            return "".join(
                fill(inner.replace("{{,}}", "," if n + 1 < len(entries) else ""),
                     [{"@": key, ".": entry}] + scope)
                for n, (key, entry) in enumerate(entries))

        def plain(match):
            value = lookup(match.group(1), scope)
            if isinstance(value, list):
                return ",".join(map(str, value))
            return "" if value is None else str(value)

        part = section.sub(expand, part)
        return re.sub(r"\{\{([\w.@]+)\}\}", plain, part)

    return fill(text, [fields])


class Machine:
    """A machine with an edge address: a relay, and a control member if
    `is_core`."""

    def __init__(self, fleet, n, zone, is_core):
        self.fleet, self.zone, self.is_core = fleet, zone, is_core
        self.ip = "%s.%d" % (fleet.net, n)
        self.name = "edge-%s-%d" % (zone, n)
        self.processes = {}
        self.bootstrap = True

    def start(self, role):
        fields = {
            "node_name": self.name, "ip": self.ip, "zone": self.zone,
            "region": ZONES[self.zone], "zones": ZONES,
            "listen": {k: "%s:%d" % (self.ip, v) for k, v in PORTS.items()},
            "port_range": list(PEER_PORTS),
            "seed_nodes": self.fleet.seeds(), "bootstrap": self.bootstrap,
            "fault_tolerance": {"nodes": 1, "zones": 1, "regions": 1},
            "limits": {"max_fds": 4100, "memory_mb": self.fleet.memory_mb},
            "data_dir": os.path.join(self.fleet.dir, "data-" + self.ip),
            "heartbeat_ms": HEARTBEAT_MS, "bounds": BOUNDS}
        os.makedirs(fields["data_dir"], exist_ok=True)
        with open(os.path.join(ROOT, "platform", role + ".ini")) as template:
            text = render(template.read(), fields)
        path = os.path.join(self.fleet.dir, "%s-%s.ini" % (self.ip, role))
        with open(path, "w") as out:
            out.write(text)
        log = open(os.path.join(self.fleet.dir,
                                "%s-%s.log" % (self.ip, role)), "a")
        environment = {k: v for k, v in os.environ.items()
                       if k in ("PATH", "HOME", "LANG")}
        environment["QUETZALGATE_SETTINGS"] = path
        self.processes[role] = subprocess.Popen(
            [os.path.join(ROOT, "target", "quetzalgated")], cwd=ROOT,
            env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.fleet.record("platform: %s/%s starts, pid %d", self.name, role,
                          self.processes[role].pid)

    def signal(self, role, number):
        self.fleet.record("platform: %s to %s/%s",
                          signal.Signals(number).name, self.name, role)
        self.processes[role].send_signal(number)

    def log_of(self, role):
        with open(os.path.join(self.fleet.dir, "%s-%s.log"
                               % (self.ip, role)), errors="replace") as text:
            return text.read()


class Fleet:
    """Three core machines, each with control and relay."""

    def __init__(self, folder, memory_mb=260):
        self.record = Record(folder)
        self.memory_mb = memory_mb
        self.dir = tempfile.mkdtemp(prefix="qg-review-")
        self.net = "127.%d.%d" % (random.randint(20, 250),
                                  random.randint(1, 250))
        self.machines, self.servers = [], []
        self.version = 0
        if not os.access(os.path.join(ROOT, "target", "quetzalgated"), os.X_OK):
            raise RuntimeError("target/quetzalgated is not built")

    def seeds(self):
        return ["%s.%d:%d" % (self.net, n, PORTS["control_plane"])
                for n in (1, 2, 3)]

    def start(self, n_servers=3, settle=True, manifest=None, server=None):
        self.machines = [Machine(self, n + 1, zone, True)
                         for n, zone in enumerate(ZONES)]
        for machine in self.machines:
            machine.start("control")
            machine.start("relay")
            machine.bootstrap = False
        self.put(manifest or self.manifest(), patience=20)
        self.servers = [(server or Server)(self, n, list(ZONES)[n % 3])
                        for n in range(n_servers)]
        if settle:
            wait_for("all machines are ready", 25,
                     lambda: all(self.ready(m) for m in self.machines))
            time.sleep(2 * HEARTBEAT_MS / 1000)

    def manifest(self, **change):
        """The next version of the desired state."""
        self.version += 3
        kinds = {"safe": ("safe", 3), "unsafe": ("unsafe", 1)}
        state = {
            "version": self.version,
            "routes": [{
                "name": "r-" + name, "hostname": "shop.example",
                "path_prefix": "/%s/" % name, "route_type": kind,
                "timeout_ms": 6000, "target_latency_ms": 2000, "priority": 1,
                "backend": "orderbook", "max_attempts": attempts,
                "anonymous": False, "session_affinity": False,
                "stream_resume": False, "allowed_regions": []}
                for name, (kind, attempts) in kinds.items()],
            "backends": [{
                "name": "orderbook", "health_check": "/healthz",
                "max_connections": 300, "protocol": "h1", "tls": False,
                "cold_start_s": 0.0, "cold_per_s": 0.0}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
                       "throughput_per_s": 530000},
            "tenants": [{"name": "one", "api_keys": [KEY], "priority": 1,
                         "allowed_regions": []}]}
        state.update(change)
        return state

    def put(self, state, patience=10, log=True):
        """Sends a desired state as the operator does: to any daemon, again
        until there is a clear answer. Returns the status, or None."""
        text = json.dumps(state)
        end = time.monotonic() + patience
        while time.monotonic() < end:
            for machine in self.machines:
                answer = self.ask(machine, "POST", "/configuration/replace",
                                  text)
                if answer is not None and answer[0] < 500:
                    if log:
                        self.record("operator: version %d -> %d",
                                    state["version"], answer[0])
                    return answer[0]
            time.sleep(0.1)
        self.record("operator: version %d has no confirmation",
                    state["version"])
        return None

    def ask(self, machine, method, path, body=None, timeout=1.0, hops=2):
        """One call of the operator's API; (status, body), or None."""
        address = "%s:%d" % (machine.ip, PORTS["control_plane"])
        if body is not None and len(body) > 100000:
            timeout = 12.0
        try:
            for _ in range(hops + 1):
                host, port = address.split(":")
                conn = http.client.HTTPConnection(host, int(port),
                                                  timeout=timeout)
                try:
                    conn.request(method, path, body,
                                 {"Content-Type": "application/json"})
                    answer = conn.getresponse()
                    data = answer.read()
                finally:
                    conn.close()
                if answer.status != 307:
                    return answer.status, data
                address = re.match(r"http://([^/]+)/",
                                   answer.getheader("Location")).group(1)
        except (OSError, http.client.HTTPException):
            pass
        return None

    def leader(self):
        for machine in self.machines:
            answer = self.ask(machine, "GET", "/configuration/fetch", hops=0)
            if answer is not None and answer[0] == 200:
                return machine
        return None

    def ready(self, machine):
        try:
            conn = http.client.HTTPConnection(machine.ip, PORTS["readiness"],
                                              timeout=1)
            conn.request("GET", "/readyz")
            status = conn.getresponse().status
            conn.close()
            return status == 200
        except (OSError, http.client.HTTPException):
            return False

    def stop(self):
        for server in self.servers:
            server.stop()
        for machine in self.machines:
            for process in machine.processes.values():
                if process.poll() is None:
                    process.kill()
                process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.dir, ignore_errors=True)


class Server:
    """A sound server of the plain service: HTTP/1.1, one request at a time on
    a connection, keep-alive, heartbeats to control."""

    def __init__(self, fleet, n, zone, backend="orderbook"):
        self.fleet, self.zone, self.backend = fleet, zone, backend
        self.id = "i-%04x%04x" % (n, random.randint(0, 65535))
        self.address = ("%s.%d" % (fleet.net, 100 + n), 9000)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.stopped = threading.Event()
        self.listener = socket.create_server(self.address, backlog=256)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        while not self.stopped.is_set():
            self.sequence += 1
            text = json.dumps({
                "backend": self.backend, "address": "%s:%d" % self.address,
                "zone": self.zone, "version": "v1", "slots": 6,
                "state": "ready", "cold_remaining_ms": 0,
                "sequence": self.sequence, "born": self.born})
            for machine in self.fleet.machines:
                answer = self.fleet.ask(machine, "POST", "/instances/%s/"
                                        "heartbeat" % self.id, text)
                if answer is not None and answer[0] == 200:
                    break
            self.stopped.wait(HEARTBEAT_MS / 1000)

    def stop(self):
        self.stopped.set()
        self.listener.close()

    def accept(self):
        while not self.stopped.is_set():
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(conn,),
                             daemon=True).start()

    def serve(self, conn):
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            with conn, conn.makefile("rb", 65536) as stream:
                while self.serve_one(conn, stream):
                    pass
        except (OSError, ValueError):
            pass

    def serve_one(self, conn, stream):
        line = stream.readline()
        if not line:
            return False
        method, path, _ = line.decode("latin-1").split(" ", 2)
        fields = {}
        while True:
            line = stream.readline()
            if line in (b"\r\n", b""):
                break
            name, _, value = line.decode("latin-1").partition(":")
            fields[name.strip().lower()] = value.strip()
        body = stream.read(int(fields.get("content-length", "0")))
        return self.answer(conn, method, path, fields, body)

    def answer(self, conn, method, path, fields, body):
        attempt = fields.get("x-quetzalgate-attempt-id", "")
        head = "X-Quetzalgate-Attempt-Id: %s\r\n" % attempt
        if fields.get("x-quetzalgate-expect-instance", self.id) != self.id:
            conn.sendall(("HTTP/1.1 421 Misdirected\r\n%sX-Quetzalgate-Not-"
                          "Executed: 1\r\nContent-Length: 0\r\n\r\n"
                          % head).encode())
            return True
        self.fleet.record("server %s: runs %s, %d bytes", self.id, attempt,
                          len(body))
        return self.run(conn, method, path, fields, body, head)

    def run(self, conn, method, path, fields, body, head):
        text = ("answer to %s" % fields.get("x-quetzalgate-attempt-id")).encode()
        conn.sendall(("HTTP/1.1 200 OK\r\n%sX-Quetzalgate-Response-Seal: s.%s"
                      "\r\nContent-Length: %d\r\n\r\n"
                      % (head, self.id, len(text))).encode() + text)
        return True


def wait_for(what, seconds, check):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if check():
            return
        time.sleep(0.05)
    raise RuntimeError("not within %g s: %s" % (seconds, what))


def main(case, **options):
    """Runs case(fleet), which returns HELD or BROKEN; exits as the issue
    states."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    fleet = None
    try:
        fleet = Fleet(folder, **options)
        result = case(fleet)
    except Exception as error:  # the case could not run
        print("not run: %r" % error)
        if fleet is not None:
            fleet.record("not run: %r", error)
        result = NOT_RUN
    finally:
        if fleet is not None:
            fleet.stop()
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[result])
    sys.stdout.flush()
    os._exit(result)
