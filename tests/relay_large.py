"""Large manifests that are invalid at their end are refused without holding up the
leader, whose lease would end."""
import http.client
import json
import sys
import threading
import time

from relay_fleet import run_checks

SENDERS, ROUNDS = 8, 2
ROUTES = 15000  # below the 5 MiB that a member takes


def large_manifest(fleet):
    whole = json.loads(fleet.manifest())
    route = whole["routes"][0]
    whole["routes"] = [dict(route, name="r%d" % i, path_prefix="/p%d/" % i)
                       for i in range(ROUTES)]
    whole["routes"].append(dict(route, path_prefix="/p%d/" % (ROUTES - 1)))
    text = json.dumps(whole, separators=(",", ":"))
    assert len(text) < 5 * 2**20, len(text)
    return text


def leaders(fleet):
    """Number of times that a member became the leader."""
    n = 0
    for member in (2, 3, 4):
        with open("%s/127.0.0.%d.log" % (fleet.dir, member)) as log:
            n += sum('"LEADER"' in line for line in log)
    return n


def check_large_manifests_do_not_hold_up_the_leader(fleet):
    text = large_manifest(fleet)
    leader, before = fleet.leader(), leaders(fleet)
    answers = []

    def send():
        for _ in range(ROUNDS):
            conn = http.client.HTTPConnection("127.0.0.%d" % leader,
                                              fleet.port + 1, timeout=60)
            conn.request("POST", "/configuration/replace", text)
            answers.append(conn.getresponse().status)
            conn.close()

    threads = [threading.Thread(target=send) for _ in range(SENDERS)]
    slowest = 0
    for thread in threads:
        thread.start()
    while any(thread.is_alive() for thread in threads):
        began = time.time()
        conn = http.client.HTTPConnection("127.0.0.%d" % leader, fleet.port + 1,
                                          timeout=60)
        conn.request("GET", "/configuration/fetch")
        conn.getresponse().read()
        conn.close()
        slowest = max(slowest, time.time() - began)
        time.sleep(0.02)
    for thread in threads:
        thread.join()
    print("%d bytes, the slowest read beside it took %.2f s, %d new leaders" % (
        len(text), slowest, leaders(fleet) - before))
    assert answers == [400] * SENDERS * ROUNDS, answers
    assert leaders(fleet) == before


run_checks(sys.argv[1], [check_large_manifests_do_not_hold_up_the_leader])
