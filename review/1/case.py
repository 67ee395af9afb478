"""A desired state whose list of tenants can't be read is acknowledged, and from
then on requests run whatever their key is."""
import http.client
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                ".."))
import fleet as f

REQUESTS = 12
FOREIGN_KEY = "key-that-no-desired-state-held"
CONFIG_APPLY_S = 2.5


def order(fleet, n, key, name):
    attempt = "%s-%d" % (name, n)
    conn = http.client.HTTPConnection(fleet.machines[n % 3].ip,
                                      f.PORTS["frontend"], timeout=6)
    try:
        conn.request("POST", "/unsafe/x", b"one crate", {
            "Host": "shop.example", "X-Quetzalgate-Attempt-Id": attempt,
            "X-Quetzalgate-Deadline-Ms": "3000", "X-Quetzalgate-Key": key})
        answer = conn.getresponse()
        answer.read()
        fleet.record("client: %s: %d", attempt, answer.status)
        return answer.status
    finally:
        conn.close()


def case(fleet):
    state = fleet.manifest()
    fleet.start(manifest=state)
    if [order(fleet, n, FOREIGN_KEY, "early") for n in range(3)] != [401] * 3:
        raise RuntimeError("a foreign key is not refused at first")
    status = None
    if f.TROUBLE:
        tenants = {tenant["name"]: tenant for tenant in state["tenants"]}
        bad = dict(state, version=state["version"] + 4, tenants=tenants)
        fleet.record("operator: an invalid desired state, tenants %s", tenants)
        status = fleet.put(bad)
    time.sleep(CONFIG_APPLY_S + 0.5)
    own = [order(fleet, n, f.KEY, "own") for n in range(3)]
    foreign = [order(fleet, n, FOREIGN_KEY, "foreign") for n in range(REQUESTS)]
    with open(fleet.record.file.name) as file:
        ran = file.read().count("runs foreign-")
    summary = ("the invalid desired state: %s; %d of %d requests with a key "
               "that no desired state held ran; with the tenant's key: %s"
               % (status or "not sent", ran, REQUESTS, own))
    fleet.record("%s", summary)
    print(summary)
    if not f.TROUBLE and own != [200] * 3:
        raise RuntimeError("requests with the tenant's key are not served")
    return f.BROKEN if ran > 0 or status == 200 else f.HELD


f.main(case)
