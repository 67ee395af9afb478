"""One process with all roles on loopback, and parts of stand-in targets for
it."""
import http.client
import json
import os
import socket
import subprocess
import tempfile
import threading
import time

from free_port import free_port

KEY = "hall-7-key"
started = []  # the processes of start()


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


def start(build, folder, target, listen, more):
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
        out.write(settings + more % target)
    started.append(subprocess.Popen(
        [os.path.join(build, "quetzalgated"), "--standalone", path],
        stdout=open(os.path.join(folder, "log"), "w"),
        stderr=subprocess.STDOUT))
    return started[-1]


def call(port, content, stream=False, headers=None):
    """(status, body, whether the answer is framed as complete)."""
    text = json.dumps({"model": "drape-model", "max_tokens": 4,
                       "stream": stream,
                       "messages": [{"role": "user", "content": content}]})
    return request(port, "POST", "/v1/chat/completions", text, headers)


def request(port, method, path, text=None, headers=None, leave_after=None):
    """(status, body, whether the answer is framed as complete). The caller
    leaves once it has the bytes @leave_after."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=15)
    status, body = 0, b""
    try:
        conn.request(method, path, text,
                     {"Authorization": "Bearer " + KEY, **(headers or {})})
        answer = conn.getresponse()
        status = answer.status
        while more := answer.read1(65536):
            body += more
            if leave_after is not None and leave_after in body:
                return status, body, False
        return status, body, True
    except (OSError, http.client.HTTPException):
        return status, body, False
    finally:
        conn.close()


def run_check(build, serve, first, check, more="# target %d\n"):
    """Starts a process whose targets are @serve; calls @check with its port once
    a request with the content @first is answered. @more: settings of further
    agents, with the port of their target."""
    server = socket.create_server(("127.0.0.1", 0))
    threading.Thread(target=accept, args=(server, serve), daemon=True).start()
    listen = free_port()
    with tempfile.TemporaryDirectory(prefix="qg-entry-") as folder:
        process = start(build, folder, server.getsockname()[1], listen, more)
        try:
            end = time.time() + 20
            while (result := call(listen, first))[0] != 200:
                assert time.time() < end, result
                time.sleep(0.2)
            check(listen)
        except BaseException:
            print(open(os.path.join(folder, "log")).read()[-3000:])
            raise
        finally:
            process.kill()
            process.wait()
