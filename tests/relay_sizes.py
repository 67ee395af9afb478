"""Measures a thousand changes to a manifest of 350 routes: the time to
acknowledge each, the size of the data folder, and the recovery time after all
members are killed. Run by hand: relay_sizes.py BUILD [CHANGES]."""
import json
import os
import sys
import time

from relay_fleet import Fleet, wait_for

DISK_MB = 64  # disk of the platform's VMs


def folder_mb(path):
    return sum(os.path.getsize(os.path.join(path, name))
               for name in os.listdir(path)) / 1e6


def main(build, changes):
    fleet = Fleet(build)
    try:
        fleet.start_all(1)
        whole = json.loads(fleet.manifest())
        for n in range(350):
            whole["routes"].append(dict(
                whole["routes"][0], name="r%d" % n,
                path_prefix="/more-%d-%s/" % (n, "x" * 100)))
        waits, most = [], 0
        for n in range(changes):
            whole["version"] += 1
            began = time.time()
            text = json.dumps(whole)
            wait_for("change %d is acknowledged" % n,
                     lambda: (fleet.control_request(
                         "POST", "/configuration/replace", text)
                         or (0,))[0] == 200, 12)
            waits.append(time.time() - began)
            if n % 20 == 0:
                most = max(most, max(folder_mb("%s/data-127.0.0.%d"
                                               % (fleet.dir, m))
                                     for m in (2, 3, 4)))
        waits.sort()
        began = time.time()
        for n in (2, 3, 4):
            fleet.kill("127.0.0.%d" % n)
        for n in (2, 3, 4):
            fleet.control(n)
        wait_for("the manifest is restored",
                 lambda: json.loads((fleet.control_request(
                     "GET", "/configuration/fetch") or (0, "{}"))[1])
                 .get("version") == whole["version"])
        print(json.dumps({
            "changes": changes, "bytes": len(json.dumps(whole)),
            "ack_ms_p50": round(1000 * waits[len(waits) // 2], 1),
            "ack_ms_p99": round(1000 * waits[len(waits) * 99 // 100], 1),
            "folder_mb_most": round(most, 1),
            "back_s": round(time.time() - began, 2)}))
        assert most < DISK_MB
    finally:
        fleet.stop_all()


main(sys.argv[1], int(sys.argv[2]) if len(sys.argv) > 2 else 1000)
