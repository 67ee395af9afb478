"""First starts of six control processes with empty folders, of which three are
the seeds, in any order; then changes and reads by way of each of them."""
import json
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


def check_one_fleet(fleet):
    """Each process, or the leader that it names, acknowledges a change; all
    return the newest."""
    for n in PROCESSES:
        text = fleet.manifest()
        wait_for("process %d acknowledges a change" % n,
                 lambda: (fleet.control_request(
                     "POST", "/configuration/replace", text, [n])
                     or (0,))[0] == 200)
    for n in PROCESSES:
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


def play(build, seeds, spread_s, after=None):
    fleet = Fleet(build)
    fleet.members = seeds
    try:
        start_in_any_order(fleet, spread_s)
        if after is not None:
            after(fleet)
        check_one_fleet(fleet)
    except BaseException:
        fleet.print_logs()
        raise
    finally:
        fleet.stop_all()


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


if __name__ == "__main__":
    for name in sys.argv[2:]:
        globals()[name](sys.argv[1])
        print(name, "ok")
