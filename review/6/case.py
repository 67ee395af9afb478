"""At the first start of a core of six machines, a machine that is not one of the
seeds begins a fleet of its own beside that of the seeds."""
import json
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import rig

FLEETS = 16
SEEDS = (4, 5, 6)
OTHERS = (1, 2, 3)
START_S = 0.3  # within which all machines start
AT_ONCE_S = 0.005
LEAD_S = 0.28  # of the seeds, without the disruption
SETTLE_S = 1.0
# Those of demands/chatka-route-grown.toml that differ.
BOUNDS = dict(rig.BOUNDS, contact_window_ms=4000, ack_timeout_ms=5000, catch_up_s=6,
              drain_timeout_ms=3000, config_apply_ms=3000, max_stretch_ms=6000,
              retry_min_extra=88, recovery_s=15, delivery_lag_ms=250,
              reuse_window_s=8.7)
MEMORY_MB = 88
APPLY_S = BOUNDS["config_apply_ms"] / 1000


def start(fleet, trouble):
    """All within START_S: at once and in any order, or the seeds first."""
    began = time.time()
    if trouble:
        at = {n: random.uniform(0, AT_ONCE_S) for n in fleet.machines}
    else:
        at = {n: 0 if n in SEEDS else LEAD_S for n in fleet.machines}
    for n in sorted(at, key=at.get):
        time.sleep(max(0, began + at[n] - time.time()))
        fleet.processes["control-%d" % n].start()
    if time.time() - began > START_S:
        raise rig.CannotRun("the machines did not start within %g s" % START_S)


def read(fleet, machine):
    """The version that a read gets which is sent to a machine first, and the
    address that answers; or None twice."""
    answer = fleet.control_call("GET", "/configuration/fetch", first=machine)
    if answer is None or answer[0] != 200:
        return None, None
    return json.loads(answer[1])["version"], answer[2]


def case(fleet, trouble):
    start(fleet, trouble)
    time.sleep(SETTLE_S)
    routes = [rig.route("lookup", "/lookup/", "hut-booking", "safe")]
    services = [rig.service("hut-booking")]
    newest = 0
    for n in fleet.machines:  # the operator picks among the daemons
        text = fleet.desired_state(routes, services)
        answer, end = None, time.time() + 6
        while answer is None and time.time() < end:
            answer = fleet.control_call("POST", "/configuration/replace", text,
                                        first=n)
        if answer is None:
            raise rig.CannotRun("no acknowledgement of a desired state")
        fleet.record("operator: version %d, sent to machine %d first, gets %d from "
                     "%s", fleet.version, n, answer[0], answer[2])
        if answer[0] == 200:
            newest = fleet.version
    time.sleep(APPLY_S + 0.1)
    broken = []
    for n in fleet.machines:
        version, address = read(fleet, n)
        fleet.record("a read, sent to machine %d first, gets version %s from %s", n,
                     version, address)
        if version is not None and version < newest:
            broken.append("CONFIG: %s answers a read with version %d, more than "
                          "%g s after version %d was acknowledged"
                          % (address, version, APPLY_S, newest))
    return broken


sys.exit(rig.main(HERE, case, FLEETS, zones=rig.SIX_ZONES, seeds=SEEDS, nodes=2,
                  relays=False, memory_mb=MEMORY_MB, bounds=BOUNDS))
