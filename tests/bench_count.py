"""Checks which refusals bench/check.py counts as false, with build/load, stand-in targets
and an entry that does with each sending of a request what the name of its workspace says.
usage: bench_count.py BUILD"""
import http.client
import http.server
import os
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "bench"))
import check  # noqa: E402
from free_port import free_port  # noqa: E402

REFUSAL = b'{"kind":"unavailable","run":"not-run"}'
# What the entry does with the first and the second sending of a request, by workspace.
# "run": a target runs it; then the entry refuses it as not run, or cuts the connection.
PLANS = {
    "refused": ["refuse"],
    "cut-refused": ["cut", "refuse"],
    "run-refused": ["run refuse"],
    "run-cut-refused": ["run cut", "refuse"],
    "cut-run-refused": ["cut", "run refuse"],
}
FALSE = {("chat", "run-refused"), ("chat", "cut-run-refused"), ("post", "run-refused"),
         ("post", "run-cut-refused"), ("post", "cut-run-refused")}


class Entry(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        pass

    def do_POST(self):
        body = self.rfile.read(int(self.headers["Content-Length"]))
        ws = body.split(b"ws=")[1].split()[0].decode()
        action = PLANS[ws][int(self.headers["X-Attempt"])]
        if action.startswith("run"):
            self.run_at_target(body)
        if action.endswith("cut"):
            self.close_connection = True
            return
        self.send_response(503)
        self.send_header("Content-Length", str(len(REFUSAL)))
        self.end_headers()
        self.wfile.write(REFUSAL)

    def run_at_target(self, body):
        kind = "chat" if self.path.startswith("/v1") else "post"
        target = http.client.HTTPConnection("127.0.0.1", self.server.targets[kind], timeout=10)
        target.request("POST", self.path, body, dict(self.headers))
        target.getresponse().read()
        target.close()


def start_target(build, folder, kind):
    port = free_port()
    process = subprocess.Popen([
        os.path.join(build, "standin"), "--port", str(port),
        "--model" if kind == "chat" else "--plain", "--name", kind, "--cold-s", "0",
        "--journal", os.path.join(folder, kind + ".journal")])
    end = time.monotonic() + 10
    while True:
        try:
            connection = http.client.HTTPConnection("127.0.0.1", port, timeout=2)
            connection.request("GET", "/health")
            connection.getresponse().read()
            return process, port
        except OSError:
            assert time.monotonic() < end, "no target"
            time.sleep(0.05)


def run_load(build, folder, port):
    plan, log = os.path.join(folder, "plan"), os.path.join(folder, "load.log")
    with open(plan, "w") as out:
        for kind in ("chat", "post"):
            for ws in PLANS:
                out.write("%s key service %s 1 0 2 3 0 0.3\n" % (ws, kind))
    subprocess.run([os.path.join(build, "load"), "--entries", "127.0.0.1:%d" % port, "--plan",
                    plan, "--seconds", "0.4", "--log", log], check=True,
                   stdout=subprocess.DEVNULL)
    return list(check.read_load_log(log))


def main(build):
    entry = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Entry)
    threading.Thread(target=entry.serve_forever, daemon=True).start()
    processes = []
    with tempfile.TemporaryDirectory(prefix="qg-count-") as folder:
        try:
            entry.targets = {}
            for kind in ("chat", "post"):
                process, entry.targets[kind] = start_target(build, folder, kind)
                processes.append(process)
            rows = run_load(build, folder, entry.server_address[1])
            history = check.JournalHistory(folder)
        finally:
            for process in processes:
                process.kill()
                process.wait()
    failures = 0
    for kind in ("chat", "post"):
        for ws in PLANS:
            mine = [row for row in rows if (row["kind"], row["ws"]) == (kind, ws)]
            refused = sum(row["outcome"] == "refused" for row in mine)
            expected = refused if (kind, ws) in FALSE else 0
            counted = check.count_false_refusals(mine, history)
            failures += counted != expected or refused == 0
            print("%s %s: %d refused, %d counted as false, %d expected"
                  % (kind, ws, refused, counted, expected))
    return 1 if failures else 0


sys.exit(main(sys.argv[1]))
