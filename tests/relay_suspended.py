"""VMs that are suspended while the manifest changes. The monotonic clock does not
count that time, so leases that are measured by it seem to hold when they wake."""
import json
import os
import signal
import socket
import sys
import time

from relay_fleet import KEY, Target, run_checks, wait_for

SUSPENDED_S = 9  # longer than all leases and the time limits below
APPLY_S, REVOKE_S = 2.5, 5
REQUESTS = 8

BUILD = os.path.abspath(sys.argv[1])
CLOCK_DIR = os.path.join(BUILD, "suspend-%d" % os.getpid())


def preload(fleet):
    """Starts all processes again, each with a clock of its own."""
    os.makedirs(CLOCK_DIR, exist_ok=True)
    os.environ["LD_PRELOAD"] = os.path.join(BUILD, "suspend_clock.so")
    for n in (5, 6):
        start(fleet, "relay-%d" % n, lambda: fleet.relay(n))
    for n in (2, 3, 4):
        start(fleet, "127.0.0.%d" % n, lambda: fleet.control(n))
    del os.environ["LD_PRELOAD"]
    wait_for("requests are served", lambda: all(
        fleet.call("safe", relay=n)[0] == 200 for n in (5, 6)), 20)


def start(fleet, name, run):
    fleet.kill(name)
    os.environ["SUSPEND_CLOCK_FILE"] = os.path.join(CLOCK_DIR, name)
    run()


def wake(fleet, name, began):
    with open(os.path.join(CLOCK_DIR, name), "w") as out:
        out.write("%d" % ((time.time() - began) * 1000))
    fleet.kill(name, signal.SIGCONT)


def send(ip, port, text):
    """Sends a request, which waits in the socket of a suspended process."""
    conn = socket.create_connection((ip, port), timeout=8)
    conn.sendall(text.encode())
    return conn


def receive(conn):
    data = b""
    try:
        while b"\r\n\r\n" not in data or b"Content-Length: 0" not in data:
            more = conn.recv(65536)
            if not more:
                break
            data += more
    except OSError:
        pass
    conn.close()
    return data.decode(errors="replace")


def check_reads(fleet):
    """A leader that was suspended does not answer reads with the manifest from
    before."""
    old = fleet.leader()
    name = "127.0.0.%d" % old
    began = time.time()
    fleet.kill(name, signal.SIGSTOP)
    others = [n for n in (2, 3, 4) if n != old]
    text = fleet.manifest()
    wait_for("the others accept a change", lambda: (fleet.control_request(
        "POST", "/configuration/replace", text, members=others)
        or (0,))[0] == 200, 12)
    time.sleep(max(APPLY_S + 0.2, began + SUSPENDED_S - time.time()))
    reads = [send(name, fleet.port + 1, "GET /configuration/fetch HTTP/1.1\r\n"
                  "Host: control\r\nConnection: close\r\n\r\n")
             for _ in range(REQUESTS)]
    wake(fleet, name, began)
    for conn in reads:
        answer = receive(conn)
        if " 200 " in answer.split("\r\n")[0]:
            version = json.loads(answer.split("\r\n\r\n", 1)[1])["version"]
            assert version == fleet.version, (version, fleet.version)
    wait_for("requests are served", lambda: fleet.call("safe")[0] == 200)


def check_keys(fleet):
    """A relay that was suspended does not accept a key that was withdrawn."""
    assert fleet.call("safe", attempt="before", key="k-old")[0] == 200
    began = time.time()
    fleet.kill("relay-5", signal.SIGSTOP)
    fleet.put_manifest(
        fleet.manifest(tenants=[{"name": "one", "api_keys": [KEY]}]))
    confirmed = time.time()
    time.sleep(max(confirmed + REVOKE_S + 0.5, began + SUSPENDED_S)
               - time.time())
    calls = [send("127.0.0.5", fleet.port + 2,
                  "POST /safe/x HTTP/1.1\r\nHost: h.example\r\n"
                  "X-Quetzalgate-Attempt-Id: late%d\r\nContent-Length: 1\r\n"
                  "X-Quetzalgate-Deadline-Ms: 3000\r\nConnection: close\r\n"
                  "X-Quetzalgate-Key: k-old\r\n\r\nx" % n)
             for n in range(REQUESTS)]
    wake(fleet, "relay-5", began)
    answers = [receive(conn).split("\r\n")[0] for conn in calls]
    ran = [n for n in range(REQUESTS) if "late%d" % n in Target.runs]
    assert not ran, (ran, answers)
    wait_for("requests are served", lambda: fleet.call("safe")[0] == 200)


run_checks(sys.argv[1], [preload, check_reads, check_keys])
