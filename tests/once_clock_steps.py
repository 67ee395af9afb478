"""Processes of a fleet whose time of day steps. usage: once_clock_steps.py BUILD"""
import os
import random
import sys
import threading
import time

from once_fleet import Fleet, Target, with_fleet

BUILD = os.path.abspath(sys.argv[1])
HOUR = 3600
CUT_S = 4.0


def restart(fleet, steps):
    """Starts processes again, each with a time of day that is off by seconds."""
    for name in steps:
        fleet.kill(name)
    os.environ["LD_PRELOAD"] = os.path.join(BUILD, "step_clock.so")
    for name, seconds in steps.items():
        fleet.write(name + ".step", "%d" % seconds)
        os.environ["STEP_CLOCK_FILE"] = fleet.path(name + ".step")
        fleet.start(name)
    del os.environ["LD_PRELOAD"]
    assert fleet.wait_ready(), "the fleet does not serve after %s" % steps


def check_keys_are_kept(fleet):
    """A key that was answered doesn't run again because leaders' clocks step
    forward by more than its retention."""
    keys = ["kept-%d" % n for n in range(12)]
    for key in keys:
        assert fleet.send_booking("e0", key)[0] == 200
    for hours in (48, -48):
        restart(fleet, {name: hours * HOUR for name in fleet.controls})
        for key in keys:
            fleet.send_booking("e1", key)
        twice = sum(Target.runs[key] > 1 for key in keys)
        print("clocks of control off by %d h: %d of %d keys ran again"
              % (hours, twice, len(keys)))
        assert not twice


def cut_connections(fleet, prefix):
    """Loses what entries send to agents, again and again; returns the requests of
    callers as (key, status, run)."""
    end, results = time.monotonic() + CUT_S, []

    def send(number):
        n, rng = 0, random.Random(number)
        while time.monotonic() < end:
            n += 1
            key = "%s-%d-%d" % (prefix, number, n)
            status, run, _ = fleet.send_booking(rng.choice(["e0", "e1"]), key,
                                                method="GET")
            results.append((key, status, run))

    threads = [threading.Thread(target=send, args=(n,), daemon=True) for n in range(8)]
    for thread in threads:
        thread.start()
    cuts = 0
    while time.monotonic() < end:
        time.sleep(0.3)
        for name in fleet.entries:
            cuts += fleet.proxies[name].silence(way="to client")
        time.sleep(0.08)
        for name in fleet.entries:
            fleet.proxies[name].reset()
    for thread in threads:
        thread.join(20)
    assert cuts > 20 and len(results) > 20, (cuts, len(results))
    return results


def check_entries_lose_connections(fleet):
    """Entries that start again with an earlier time of day are known to agents,
    so that a request that is lost with a connection is sent again without a
    retry budget."""
    for hours in (0, -1):
        restart(fleet, {name: hours * HOUR for name in fleet.entries})
        results = cut_connections(fleet, "cut%d" % hours)
        lost = [(key, status, run, Target.runs.get(key, 0))
                for key, status, run in results if status != 200]
        print("clocks of entries off by %d h: %d of %d requests not answered"
              % (hours, len(lost), len(results)))
        assert not lost, lost[:10]
        twice = [key for key, _, _ in results if Target.runs[key] != 1]
        assert not twice, twice[:10]


CHECKS = {f.__name__: f for f in (check_keys_are_kept,
                                  check_entries_lose_connections)}


def run_test(fleet):
    failed = 0
    for name in sys.argv[2:] or CHECKS:
        try:
            CHECKS[name](fleet)
            print(name, "ok")
        except AssertionError as error:
            failed = 1
            print("FAILED: %s: %s" % (name, error))
    return failed


Fleet.retry_percent = 0
sys.exit(with_fleet(run_test, proxied=True))
