"""Stops the leader while eight changes of the manifest are in progress. It exits
with code 0, and each change is answered or its connection is closed. The second
argument is the number of stops."""
import http.client
import json
import signal
import sys
import threading
import time

from relay_fleet import run_checks, wait_for

STOPS = int(sys.argv[2]) if len(sys.argv) > 2 else 12
CHANGES, ROUTES = 8, 350
# From the changes to each stop: some are sent, written, or replicated then.
BEFORE_S = (0, 0.002, 0.004, 0.006, 0.008, 0.012)


def large_manifest(fleet):
    whole = json.loads(fleet.manifest())
    whole["routes"] += [dict(whole["routes"][0], name="r%d" % n,
                             path_prefix="/p%d/" % n) for n in range(ROUTES)]
    return json.dumps(whole)


def send(fleet, leader, text, results):
    try:
        conn = http.client.HTTPConnection("127.0.0.%d" % leader,
                                          fleet.port + 1, timeout=8)
        conn.request("POST", "/configuration/replace", text)
        results.append(conn.getresponse().status)
        conn.close()
    except TimeoutError:
        results.append("none")
    except (OSError, http.client.HTTPException):
        results.append("closed")


def check_stops(fleet):
    seen = []
    for stop in range(STOPS):
        wait_for("there is a leader", lambda: fleet.leader() is not None)
        leader = fleet.leader()
        name = "127.0.0.%d" % leader
        texts = [large_manifest(fleet) for _ in range(CHANGES)]
        results = []
        threads = [threading.Thread(target=send,
                                    args=(fleet, leader, text, results))
                   for text in texts]
        for thread in threads:
            thread.start()
        time.sleep(BEFORE_S[stop % len(BEFORE_S)])
        fleet.kill(name, signal.SIGTERM)
        code = fleet.processes[name].wait(timeout=8)
        for thread in threads:
            thread.join()
        assert code == 0, code
        assert "none" not in results, results
        seen += results
        fleet.control(leader)
    print({status: seen.count(status) for status in set(seen)})
    wait_for("the newest manifest is stored", lambda: (fleet.control_request(
        "POST", "/configuration/replace", fleet.manifest()) or (0,))[0] == 200)


run_checks(sys.argv[1], [check_stops])
