"""Clients that nobody controls, at each HTTP listener of a process: bodies far over
the limit, chunked bodies that stay open, requests sent ahead whose answers nobody
reads. The process lives, its memory (with what its sockets hold unread) and its
descriptors stay within bounds, and one ordinary request is answered afterwards."""
import http.client
import json
import os
import socket
import subprocess
import sys
import tempfile
import time

# Fixed before the limits were built: 40 clients that send 8 MB each would take
# 320 MB; the process is told that it has 96 MB.
CLIENTS = 40
MEMORY_MB = 96
FDS_MAX = 250
BODY = 8 << 20
OPERATOR_KEY = "operator-key"

SETTINGS = """[daemon]
name=one
roles=entry;agent;control
dc=local
region=local
admin_listen=127.0.0.1:%(admin)d
memory_mb=%(memory)d
[entry]
listen=127.0.0.1:%(entry)d
peer_listen=127.0.0.1:%(entry_peer)d
[agent drape-1]
service=drape-model
target=127.0.0.1:%(target)d
[control]
peer_listen=127.0.0.1:%(control_peer)d
operator_listen=127.0.0.1:%(operator)d
public_listen=127.0.0.1:%(public)d
data_folder=%(folder)s
document=examples/document.ini
bootstrap=yes
[operator pat]
key_sha256=c9736463f555cdb7d2a78cfd7aa8b8c4f09d906d78f8dab9228eda30a28c2818
teams=workspaces;dcs;services
"""

DOORS = {  # method, path and headers of an ordinary request
    "entry": ("POST", "/v1/chat/completions",
              "Authorization: Bearer nobody\r\n"),
    "operator": ("GET", "/v1/status",
                 "Authorization: Bearer %s\r\n" % OPERATOR_KEY),
    "admin": ("GET", "/metrics", ""),
    "public": ("GET", "/configuration/fetch", ""),
}


def free_ports(names):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in names]
    ports = dict(zip(names, (s.getsockname()[1] for s in sockets)))
    for s in sockets:
        s.close()
    return ports


def send_some(conn, data):
    """Sends until the peer takes no more; FALSE once it has closed."""
    try:
        while data:
            data = data[conn.send(data):]
    except BlockingIOError:
        return True
    except OSError:
        return False
    return True


def bytes_over_the_limit(door):
    head = "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % (
        DOORS[door][1], 1 << 40)
    return head.encode() + b"b" * BODY


def bytes_of_large_chunks(door):
    head = "POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunk = b"10000\r\n" + b"c" * 65536 + b"\r\n"
    return (head % DOORS[door][1]).encode() + chunk * 60


def bytes_of_small_chunks(door):
    head = "POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    return (head % DOORS[door][1]).encode() + b"1\r\nc\r\n" * 200_000


def bytes_sent_ahead(door):
    return ("GET %s HTTP/1.1\r\nHost: h\r\n\r\n" % DOORS[door][1]).encode() * 20_000


FORMS = {"over": bytes_over_the_limit, "large-chunks": bytes_of_large_chunks,
         "small-chunks": bytes_of_small_chunks, "ahead": bytes_sent_ahead}


class Process:
    def __init__(self, build, memory_mb=MEMORY_MB):
        self.folder = tempfile.mkdtemp(prefix="qg-clients-")
        self.ports = free_ports(
            list(DOORS) + ["target", "entry_peer", "control_peer"])
        path = os.path.join(self.folder, "one.ini")
        with open(path, "w") as out:
            out.write(SETTINGS % dict(self.ports, memory=memory_mb,
                                      folder=self.folder + "/data"))
        with open(os.path.join(self.folder, "log"), "w") as log:
            self.process = subprocess.Popen(
                [os.path.join(build, "quetzalgated"), "--standalone", path],
                stdout=log, stderr=log)

    def memory(self):
        """Resident bytes and those that its sockets hold unread."""
        with open("/proc/%d/status" % self.process.pid) as status:
            resident = next(int(line.split()[1]) * 1024 for line in status
                            if line.startswith("VmRSS"))
        unread = 0
        ports = {"%04X" % port for port in self.ports.values()}
        with open("/proc/net/tcp") as rows:
            for row in rows.readlines()[1:]:
                fields = row.split()
                if fields[1].split(":")[1] in ports:
                    unread += int(fields[4].split(":")[1], 16)
        return resident + unread

    def descriptors(self):
        return len(os.listdir("/proc/%d/fd" % self.process.pid))

    def lives(self):
        return self.process.poll() is None

    def answers(self, door):
        """Whether an ordinary request is answered, whatever the answer."""
        method, path, headers = DOORS[door]
        conn = http.client.HTTPConnection("127.0.0.1", self.ports[door],
                                          timeout=5)
        try:
            conn.request(method, path, "{}" if method == "POST" else None,
                         dict(line.split(": ", 1)
                              for line in headers.splitlines()))
            conn.getresponse().read()
            return True
        except (OSError, http.client.HTTPException):
            return False
        finally:
            conn.close()


def wait_until(check, what):
    for _ in range(400):
        if check():
            return
        time.sleep(0.05)
    raise AssertionError(what)


def press(process, door, form):
    """The crowd sends what is taken, round by round, and stays open; the most
    memory and descriptors meanwhile."""
    data = FORMS[form](door)
    crowd = []
    for _ in range(CLIENTS):
        conn = socket.create_connection(("127.0.0.1", process.ports[door]))
        conn.setblocking(False)
        crowd.append([conn, 0])
    memory = fds = idle = 0
    while idle < 20 and process.lives():
        sent = 0
        for client in crowd:
            if client[0] is None:
                continue
            try:
                n = client[0].send(data[client[1]:client[1] + 262_144])
                client[1] += n
                sent += n
            except BlockingIOError:
                pass
            except OSError:
                client[0].close()
                client[0] = None
        idle = 0 if sent else idle + 1
        memory = max(memory, process.memory())
        fds = max(fds, process.descriptors())
        if not sent:
            time.sleep(0.05)
    refused = sum(client[0] is None for client in crowd)
    for conn, _ in crowd:
        if conn is not None:
            conn.close()
    return memory, fds, refused


def status_of(conn, path, body):
    conn.request("POST", path, body)
    response = conn.getresponse()
    response.read()
    return response.status


def check_idle_after_bodies(process):
    """Guards against answered requests that keep their part of the budget while
    their connections stay open: later bodies would get a 503."""
    idle = []
    try:
        for i in range(8):  # 8 times 4 MiB, counted twice, exceed the budget
            conn = http.client.HTTPConnection(
                "127.0.0.1", process.ports["public"], timeout=5)
            idle.append(conn)
            status = status_of(conn, "/configuration/replace",
                               b"x" * (4 << 20))
            print("body %d on an own connection: %d" % (i, status), flush=True)
            assert status == 400, "a body within the limits: %d" % status
    finally:
        for conn in idle:
            conn.close()


def is_closed(conn):
    conn.setblocking(False)
    try:
        return conn.recv(1) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def check_other_listener(process):
    """Guards against idle connections of one listener that take the budget of
    all: a connection to another listener takes the place of the oldest one."""
    before = process.descriptors()
    idle = [socket.create_connection(("127.0.0.1", process.ports["admin"]))
            for _ in range((MEMORY_MB << 20) // 2 // 32768 + 164)]
    try:
        wait_until(lambda: is_closed(idle[0]), "the budget is not used up")
        for door in ("operator", "entry"):
            answered = process.answers(door)
            print("%d idle connections to admin, %s answers: %s" % (
                len(idle), door, answered), flush=True)
            assert answered, "no answer at %s beside idle connections" % door
    finally:
        for conn in idle:
            conn.close()
    wait_until(lambda: process.descriptors() <= before + 10,
               "closed connections keep their descriptors")


# Spaces behind it make it large: the text is kept as it was sent.
MANIFEST = json.dumps({
    "version": 3,
    "routes": [{"name": "safe", "hostname": "h.example", "path_prefix": "/safe/",
                "route_type": "safe", "timeout_ms": 4000,
                "target_latency_ms": 500, "priority": 1, "backend": "app",
                "max_attempts": 2, "anonymous": False, "stream_resume": False,
                "allowed_regions": []}],
    "backends": [{"name": "app", "health_check": "/healthz",
                  "max_connections": 100, "cold_start_s": 0.0,
                  "cold_per_s": 0.0}],
    "limits": {"max_header_bytes": 8192, "max_body_bytes": 100000,
               "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    "tenants": [{"name": "one", "api_keys": ["k"]}]}) + " " * (3 << 20)


def check_unread_answers(build):
    """Guards against large answers that are stored for clients that read
    nothing: 60 times 3 MiB exceed the memory."""
    process = Process(build)
    clients = []
    try:
        wait_until(lambda: process.answers("public"), "no answer at public")
        conn = http.client.HTTPConnection(
            "127.0.0.1", process.ports["public"], timeout=5)
        status = status_of(conn, "/configuration/replace", MANIFEST)
        assert status == 200, "a manifest within the limits: %d" % status
        conn.close()
        memory = 0
        for _ in range(60):
            client = socket.socket()
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.connect(("127.0.0.1", process.ports["public"]))
            clients.append(client)
            client.sendall(b"GET /configuration/fetch HTTP/1.1\r\nHost: h\r\n\r\n")
            client.recv(1, socket.MSG_PEEK)
            memory = max(memory, process.memory())
        print("%d unread answers: %d MB" % (len(clients), memory >> 20), flush=True)
        assert memory <= MEMORY_MB << 20, "over the bound: %d MB" % (memory >> 20)
        for client in clients:
            client.close()
        wait_until(lambda: status_of_fetch(process) == 200,
                   "no manifest after unread answers")
    finally:
        process.process.kill()
        process.process.wait()


def status_of_fetch(process):
    conn = http.client.HTTPConnection("127.0.0.1", process.ports["public"],
                                      timeout=5)
    try:
        conn.request("GET", "/configuration/fetch")
        response = conn.getresponse()
        response.read()
        return response.status
    finally:
        conn.close()


def main(build, doors):
    check_unread_answers(build)
    process = Process(build)
    failures = []
    try:
        for door in doors:
            wait_until(lambda: process.answers(door), "no answer at " + door)
        check_idle_after_bodies(process)
        check_other_listener(process)
        for door in doors:
            for form in FORMS:
                memory, fds, closed = press(process, door, form)
                print("%s %s: %d MB, %d descriptors, %d of %d closed" % (
                    door, form, memory >> 20, fds, closed, CLIENTS), flush=True)
                assert process.lives(), "the process ended"
                if memory > MEMORY_MB << 20 or fds > FDS_MAX:
                    failures.append((door, form))
                wait_until(lambda: process.answers(door),
                           "no answer at %s after %s" % (door, form))
    finally:
        if process.lives():
            process.process.kill()
        process.process.wait()
    assert not failures, "over the bounds: %s" % failures


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2:] or list(DOORS))
