"""Keys are withdrawn, and routes dropped or moved, while the bodies of requests are
on their way. The requests do not run as the older manifest allows."""
import json
import socket
import sys
import time

from relay_fleet import KEY, Target, run_checks, wait_for

APPLY_S = 2.5
REQUESTS = 4


def begin(fleet, attempt, path="/safe/x", key=KEY):
    conn = socket.create_connection(("127.0.0.5", fleet.port + 2), timeout=8)
    conn.sendall(("POST %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n"
                  "X-Quetzalgate-Attempt-Id: %s\r\nX-Quetzalgate-Deadline-Ms: "
                  "9000\r\nX-Quetzalgate-Key: %s\r\nConnection: close\r\n\r\nab"
                  % (path, attempt, key)).encode())
    return conn


def finish(conn):
    conn.sendall(b"cd")
    data = b""
    while True:
        more = conn.recv(65536)
        if not more:
            conn.close()
            return int(data.split()[1])
        data += more


def check_change(fleet, name, change, path="/safe/x", key=KEY):
    """Statuses of requests whose bodies end after @change is in force."""
    conns = [begin(fleet, "%s%d" % (name, n), path, key)
             for n in range(REQUESTS)]
    time.sleep(0.3)
    fleet.put_manifest(change())
    time.sleep(APPLY_S)
    return [finish(conn) for conn in conns]


def check_withdrawn_key(fleet):
    statuses = check_change(fleet, "key", lambda: fleet.manifest(
        tenants=[{"name": "one", "api_keys": [KEY]}]), key="k-old")
    assert statuses == [401] * REQUESTS, statuses
    assert not [a for a in Target.runs if a.startswith("key")]


def check_dropped_route(fleet):
    def without_safe():
        whole = json.loads(fleet.manifest())
        del whole["routes"][0]
        return json.dumps(whole)

    statuses = check_change(fleet, "dropped", without_safe)
    assert statuses == [404] * REQUESTS, statuses
    assert not [a for a in Target.runs if a.startswith("dropped")]


def check_added_route(fleet):
    """The route comes back while the bodies are on their way."""
    statuses = check_change(fleet, "added", fleet.manifest)
    assert statuses == [200] * REQUESTS, statuses


def check_moved_route(fleet):
    """The route goes to a service without targets."""
    def moved():
        whole = json.loads(fleet.manifest())
        whole["backends"].append({"name": "other"})
        whole["routes"][0]["backend"] = "other"
        return json.dumps(whole)

    statuses = check_change(fleet, "moved", moved)
    assert statuses == [503] * REQUESTS, statuses
    assert not [a for a in Target.runs if a.startswith("moved")]


run_checks(sys.argv[1], [check_withdrawn_key, check_dropped_route,
                         check_added_route, check_moved_route])
