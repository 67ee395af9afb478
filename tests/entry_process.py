"""One process with all roles on loopback, and parts of stand-in targets for
it."""
import os
import subprocess
import threading

from free_port import free_port

KEY = "hall-7-key"


def read_request(conn):
    data = b""
    while b"\r\n\r\n" not in data:
        more = conn.recv(65536)
        if not more:
            return b""
        data += more
    head, body = data.split(b"\r\n\r\n", 1)
    size = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            size = int(line.split(b":")[1])
    while len(body) < size:
        body += conn.recv(65536)
    return body


def accept(server, serve):
    while True:
        try:
            conn, _ = server.accept()
        except OSError:
            return
        threading.Thread(target=serve, args=(conn,), daemon=True).start()


def start(build, folder, target, listen):
    with open("examples/standalone.ini") as text:
        settings = text.read()
    for old, new in (("127.0.0.1:9001", "127.0.0.1:%d" % target),
                     ("127.0.0.1:9002", "127.0.0.1:%d" % target),
                     ("127.0.0.1:8080", "127.0.0.1:%d" % listen),
                     ("127.0.0.1:8081", "127.0.0.1:%d" % free_port()),
                     ("127.0.0.1:8082", "127.0.0.1:%d" % free_port()),
                     ("127.0.0.1:8083", "127.0.0.1:%d" % free_port()),
                     ("127.0.0.1:8084", "127.0.0.1:%d" % free_port()),
                     ("quetzalgate-data", os.path.join(folder, "data")),
                     ("examples/document.ini",
                      os.path.abspath("examples/document.ini"))):
        assert old in settings, old
        settings = settings.replace(old, new)
    path = os.path.join(folder, "standalone.ini")
    with open(path, "w") as out:
        out.write(settings)
    return subprocess.Popen([os.path.join(build, "quetzalgated"),
                             "--standalone", path],
                            stdout=open(os.path.join(folder, "log"), "w"),
                            stderr=subprocess.STDOUT)
