"""Starts and stops a whole fleet on loopback: stand-in (simulated) targets, a relay
that delays the traffic to each listening daemon, control members, entries and one
agent per target."""
import contextlib
import hashlib
import json
import os
import signal
import socket
import subprocess
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("B", os.path.join(ROOT, "build"))
SITES = {
    "swan": dict(dcs=["perth-a", "kalgoorlie-a", "bunbury-a"], local_us=500, port=24000,
                 model="drape-model", plain="bookings-app"),
    "derwent": dict(dcs=["hobart-a", "launceston-a", "melbourne-a"], local_us=1500, port=26000,
                    model="wordsmith", plain="orderbook"),
}
REGION_US = 8000
WORKSPACES = ["ws-%02d" % i for i in range(16)]
LARGE_WORKSPACES = WORKSPACES[:3]
MODEL_SLOTS, PLAIN_SLOTS, COLD_SLOTS, COLD_S, TOKEN_MS = 8, 4, 2, 3, 20
OPERATOR_KEY = "bench-operator"


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def format_ini(*groups):
    return "\n".join("[%s]\n%s\n" % (name, "".join("%s=%s\n" % row for row in rows.items()))
                     for name, rows in groups)


class Fleet:
    """The processes of one site, by name. Each is signalled by its own pid."""

    def __init__(self, site, folder, delays=True, policy="fair", models=12, workspaces=16,
                 entries=3):
        self.site, self.folder, self.policy = SITES[site], folder, policy
        self.delays, self.models, self.n_entries = delays, models, entries
        self.workspaces = ["ws-%02d" % i for i in range(workspaces)]
        self.procs, self.exit_codes, self.targets, self.admin = {}, {}, {}, {}
        self.next_port = self.site["port"]
        self.commands, self.entries, self.operators, self.members = {}, {}, {}, {}
        os.makedirs(folder, exist_ok=True)
        self.relay_port = self.new_port()
        self.routes = []
        with open(self.path("fleet.key"), "w") as key:
            key.write("bench-fleet-key-0123456789abcdef\n")
        os.chmod(self.path("fleet.key"), 0o600)
        with open(self.path("operator.key"), "w") as key:
            key.write(OPERATOR_KEY + "\n")
        self.configure()

    def path(self, name):
        return os.path.join(self.folder, name)

    def new_port(self):
        self.next_port += 1
        return self.next_port

    def write_file(self, name, text):
        with open(self.path(name), "w") as out:
            out.write(text)
        return self.path(name)

    def add_route(self, port, region):
        self.routes.append("%d:%d:%s" % (self.new_port(), port, region))
        return "127.0.0.1:%d" % self.next_port

    def document_text(self):
        site = self.site
        groups = [("dc " + dc, dict(region="region-" + dc, state="in")) for dc in site["dcs"]]
        groups += [
            ("service " + site["model"], dict(kind="model", slots=MODEL_SLOTS,
                                              cold_slots=COLD_SLOTS, deadline_ms=60000,
                                              max_tokens=4096)),
            ("service " + site["plain"], dict(kind="plain", once="POST", slots=PLAIN_SLOTS,
                                              cold_slots=COLD_SLOTS, deadline_ms=30000))]
        for ws in self.workspaces:
            groups += [("workspace " + ws, dict(weight=1, key_sha256=sha256(ws + "-key"),
                                                queue_limit=2000)),
                       ("grant " + ws, dict(services=site["model"] + ";" + site["plain"]))]
        return format_ini(*groups)

    def add_daemon(self, name, roles, dc, *groups):
        self.admin[name] = self.new_port()
        daemon = dict(name=name, roles=roles, dc=dc, region="region-" + dc, policy=self.policy,
                      fleet_key_file=self.path("fleet.key"),
                      admin_listen="127.0.0.1:%d" % self.admin[name])
        peers = dict(control=";".join("%s@%s" % row for row in self.members.items()))
        settings = self.write_file(name + ".ini",
                                   format_ini(("daemon", daemon), ("peers", peers), *groups))
        self.commands[name] = [os.path.join(BUILD, "quetzalgated"), settings]

    def configure(self):
        dcs = self.site["dcs"]
        self.write_file("document.ini", self.document_text())
        listen = [self.new_port() for _ in dcs]
        for i, dc in enumerate(dcs):
            self.members["control-%d" % i] = self.add_route(listen[i], "region-" + dc)
        for i, dc in enumerate(dcs):
            name = "control-%d" % i
            self.operators[name] = "127.0.0.1:%d" % self.new_port()
            control = dict(peer_listen="127.0.0.1:%d" % listen[i], data_folder=self.path(name),
                           operator_listen=self.operators[name],
                           document=self.path("document.ini"), bootstrap="yes" if i == 0 else "no")
            operator = dict(key_sha256=sha256(OPERATOR_KEY), teams="workspaces;dcs;services")
            self.add_daemon(name, "control", dc, ("control", control), ("operator bench", operator))
        for i in range(self.n_entries):
            dc = dcs[i % 3]
            self.entries["entry-%d" % i] = "127.0.0.1:%d" % self.new_port()
            peer = self.new_port()
            self.add_daemon("entry-%d" % i, "entry", dc,
                            ("entry", dict(listen=self.entries["entry-%d" % i],
                                           queue_limit=20000,
                                           peer_listen="127.0.0.1:%d" % peer,
                                           peer_address=self.add_route(peer, "region-" + dc))))
        for i in range(self.models):
            self.add_target("model-%02d" % i, dcs[i % 3], self.site["model"], "--model",
                            MODEL_SLOTS)
        for i in range(3):
            self.add_target("plain-%02d" % i, dcs[i], self.site["plain"], "--plain", PLAIN_SLOTS)
        us = (self.site["local_us"], REGION_US) if self.delays else (0, 0)
        self.commands["relay"] = [os.path.join(BUILD, "relay"), "--control", str(self.relay_port),
                                  "--local-us", str(us[0]), "--region-us", str(us[1])] + self.routes

    def add_target(self, name, dc, service, mode, slots):
        port = self.new_port()
        self.targets[name] = (dc, port)
        self.commands["target-" + name] = [
            os.path.join(BUILD, "standin"), "--port", str(port), mode, "--name", service,
            "--slots", str(slots), "--cold-slots", str(COLD_SLOTS), "--cold-s", str(COLD_S),
            "--token-ms", str(TOKEN_MS), "--work-ms", "50",
            "--journal", self.path(name + ".journal")]
        self.add_daemon("agent-" + name, "agent", dc,
                        ("agent " + name, dict(service=service, target="127.0.0.1:%d" % port)))

    # starting and stopping processes

    def start(self, name):
        log = open(self.path(name + ".log"), "ab")
        self.procs[name] = subprocess.Popen(self.commands[name], stdout=log, stderr=log,
                                            cwd=self.folder)
        log.close()

    def kill(self, *names):
        for name in names:
            self.procs[name].kill()
        for name in names:
            self.procs.pop(name).wait()

    def terminate(self, name, timeout=15):
        proc = self.procs.pop(name)
        proc.terminate()
        try:
            return proc.wait(timeout)
        except subprocess.TimeoutExpired:
            proc.kill()
            return proc.wait()

    def names_with_prefix(self, prefix):
        return [name for name in self.commands if name.startswith(prefix)]

    def __enter__(self):
        for prefix in ("relay", "target-", "control-", "entry-", "agent-"):
            for name in self.names_with_prefix(prefix):
                self.start(name)
        try:
            self.wait_ready(20)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for name in list(self.procs):
            self.procs[name].send_signal(signal.SIGTERM)
        end = time.monotonic() + 8
        for name, proc in list(self.procs.items()):
            with contextlib.suppress(subprocess.TimeoutExpired):
                self.exit_codes[name] = proc.wait(max(0.05, end - time.monotonic()))
            if proc.poll() is None:
                proc.kill()
                proc.wait()
        self.procs.clear()

    def wait_ready(self, seconds, names=None):
        end = time.monotonic() + seconds
        left = list(names or self.admin)
        while left:
            if self.http_get(left[0], "/healthz") is not None:
                left.pop(0)
            elif time.monotonic() > end:
                raise RuntimeError("not ready: %s" % ", ".join(left))
            else:
                time.sleep(0.05)

    # access from outside: HTTP, the relay's control port, the command-line tool

    def http_get(self, name, path):
        try:
            url = "http://127.0.0.1:%d%s" % (self.admin[name], path)
            with urllib.request.urlopen(url, timeout=1) as answer:
                return answer.read().decode()
        except OSError:
            return None

    def metrics(self, name):
        """The metrics of a daemon: name with labels -> value."""
        lines = (self.http_get(name, "/metrics") or "").splitlines()
        rows = (line.rsplit(" ", 1) for line in lines if line and line[0] != "#")
        return {row[0].replace("quetzalgate_", "", 1): float(row[1]) for row in rows}

    def set_switch(self, target, name, value=""):
        url = "http://127.0.0.1:%d/switch/%s?value=%s" % (self.targets[target][1], name, value)
        with contextlib.suppress(OSError):
            urllib.request.urlopen(urllib.request.Request(url, method="POST"), timeout=2).read()

    def relay_command(self, line):
        with socket.create_connection(("127.0.0.1", self.relay_port), timeout=2) as link:
            link.sendall(line.encode())
            return link.makefile().read()

    def run_cli(self, *words, members=None, seconds=10):
        """Runs the command-line tool; returns its exit code and output."""
        command = [os.path.join(BUILD, "quetzalgate"), "--json", "--key-file",
                   self.path("operator.key"), "--control",
                   ";".join(members or self.operators.values()), *words]
        try:
            done = subprocess.run(command, capture_output=True, text=True, timeout=seconds)
        except subprocess.TimeoutExpired:
            return 124, ""
        return done.returncode, done.stdout + done.stderr

    def status(self):
        code, text = self.run_cli("status")
        return json.loads(text) if code == 0 else {}
