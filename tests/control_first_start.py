"""First starts of six control processes with empty folders, of which three are
the seeds, in any order; then changes and reads by way of each of them."""
import contextlib
import http.client
import json
import os
import random
import sys
import time

from relay_fleet import Fleet, wait_for

STARTS = 10
PROCESSES = (2, 3, 4, 5, 6, 7)
SPREAD_S = 0.3  # within which all start


def start_in_any_order(fleet, spread_s):
    began = time.time()
    at = {n: random.uniform(0, spread_s) for n in PROCESSES}
    for n in sorted(at, key=at.get):
        time.sleep(max(0, began + at[n] - time.time()))
        fleet.control(n, "yes", tolerate=2)


def check_one_fleet(fleet, members=PROCESSES):
    """Each process, or the leader that it names, acknowledges a change; all
    return the newest."""
    for n in members:
        text = fleet.manifest()
        wait_for("process %d acknowledges a change" % n,
                 lambda: (fleet.control_request(
                     "POST", "/configuration/replace", text, [n])
                     or (0,))[0] == 200)
    for n in members:
        seen = []

        def reads():
            answer = fleet.control_request("GET", "/configuration/fetch",
                                           members=[n])
            if answer is not None and answer[0] == 200:
                seen.append(json.loads(answer[1])["version"])
            return seen

        wait_for("process %d answers a read" % n, reads)
        assert seen == [fleet.version], (
            "process %d returns version %d, %d was acknowledged"
            % (n, seen[0], fleet.version))


@contextlib.contextmanager
def new_fleet(build, seeds):
    """A fleet without processes; they end with the context."""
    fleet = Fleet(build)
    fleet.members = seeds
    try:
        yield fleet
    except BaseException:
        fleet.print_logs()
        raise
    finally:
        fleet.stop_all()


def play(build, seeds, spread_s, after=None):
    with new_fleet(build, seeds) as fleet:
        start_in_any_order(fleet, spread_s)
        if after is not None:
            after(fleet)
        check_one_fleet(fleet)


def check_seeds_sort_last(build):
    for _ in range(STARTS):
        play(build, (5, 6, 7), 0.005)
    for _ in range(STARTS // 2):
        play(build, (5, 6, 7), SPREAD_S)


def check_other_seeds(build):
    for seeds in ((2, 3, 4), (3, 5, 6), (2, 7), (4,)):
        play(build, seeds, 0.005)


def check_restarts(build):
    """All processes but one seed end before or while a fleet begins, and return
    with settings that do not let them begin one."""
    def restart(fleet, stays, pause_s):
        time.sleep(pause_s)
        others = [n for n in PROCESSES if n != stays]
        for n in others:
            fleet.kill("127.0.0.%d" % n)
        for n in others:
            fleet.control(n, "no", tolerate=2)

    for stays in (5, 6, 7):
        for pause_s in (0.01, 0.03, 0.1):
            play(build, (5, 6, 7), 0.005,
                 after=lambda fleet: restart(fleet, stays, pause_s))


def check_founder_gone(build):
    """The two ways out of a first start that waits for a founder that is gone for
    good (docs/ops/control-members.md): another process with an empty folder at its
    address, or a list of founders without it."""
    def start_at_its_address(fleet):
        fleet.control(7, "no", tolerate=2)

    def list_others(fleet):
        for n in (2, 3, 5, 6):
            fleet.kill("127.0.0.%d" % n)
        fleet.members = (3, 5, 6)
        for n in (2, 3, 5, 6):
            fleet.control(n, "yes", tolerate=2)

    for way_out in (start_at_its_address, list_others):
        with new_fleet(build, (5, 6, 7)) as fleet:
            for n in (2, 3, 5, 6):
                fleet.control(n, "yes", tolerate=2)
            wait_for("a founder says whom it waits for", lambda: "127.0.0.7 does "
                     "not answer" in open(os.path.join(
                         fleet.dir, "127.0.0.5.log")).read())
            way_out(fleet)
            check_one_fleet(fleet, (2, 3, 5, 6))


def wait_for_joins(fleet, members, count):
    """Until @count processes have joined the founders, and vote."""
    def joins():
        found = 0
        for n in members:
            with open(os.path.join(fleet.dir, "127.0.0.%d.log" % n)) as log:
                found += log.read().count(" joins")
        return found >= count

    wait_for("%d processes join" % count, joins)
    time.sleep(2)


def check_leader_after_connecting(build):
    """A process connects to the seeds, which know no leader then; the one that is
    elected later is no seed: it still joins."""
    with new_fleet(build, (5, 6, 7)) as fleet:
        for n in (3, 4, 5, 6, 7):
            fleet.control(n, "yes", tolerate=2)
        wait_for_joins(fleet, fleet.members, 2)
        for n in (5, 6):  # fall behind, so that they can't be elected
            fleet.kill("127.0.0.%d" % n)
        fleet.members = (3, 4, 7)
        fleet.put_manifest(fleet.manifest())
        for n in (3, 4, 7):
            fleet.kill("127.0.0.%d" % n)
        fleet.members = (5, 6, 7)
        for n in (5, 6, 2):
            fleet.control(n, "no", tolerate=2)
        time.sleep(1)
        fleet.control(4, "no", tolerate=2)
        check_one_fleet(fleet, (4, 2))


def status_of(fleet, n, method, path, text=None):
    """The status that process n itself answers with."""
    conn = http.client.HTTPConnection("127.0.0.%d" % n, fleet.port + 1,
                                      timeout=2)
    try:
        conn.request(method, path, text)
        return conn.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        conn.close()


def check_two_fleets_meet(build):
    """A member that was restored as a fleet of its own meets the fleet that
    goes on: neither takes changes until one of them is gone."""
    with new_fleet(build, (5,)) as fleet:
        fleet.control(5, "yes")
        fleet.put_manifest(fleet.manifest())
        fleet.kill("127.0.0.5")
        fleet.members = (2, 3, 4)
        for n in fleet.members:
            fleet.control(n, "yes")
        fleet.put_manifest(fleet.manifest())
        with open(os.path.join(fleet.dir, "data-127.0.0.5", "restore"), "w"):
            pass
        fleet.control(5, "no")

        def refuse():
            text = fleet.manifest()
            seen = [status_of(fleet, n, *request) for n in (2, 3, 4, 5)
                    for request in (("POST", "/configuration/replace", text),
                                    ("GET", "/configuration/fetch"))]
            return all(status in (307, 503) for status in seen)

        wait_for("both fleets refuse changes and reads", refuse)
        end = time.time() + 3
        while time.time() < end:
            assert refuse(), "a fleet serves beside the other"
            time.sleep(0.1)
        with open(os.path.join(fleet.dir, "127.0.0.5.log")) as log:
            assert "FLEET_OTHER" in log.read()
        fleet.kill("127.0.0.5")
        fleet.put_manifest(fleet.manifest())


if __name__ == "__main__":
    for name in sys.argv[2:]:
        globals()[name](sys.argv[1])
        print(name, "ok")
