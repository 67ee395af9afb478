"""All control members are gone. By default nothing new runs, and what is refused
is refused as not run; an agent with cut_off=serve goes on with idempotent work,
and only with that. usage: once_cutoff.py BUILD"""
import concurrent.futures
import sys
import tempfile
import time

from once_fleet import Fleet, Target, whole_of

LEASE_S = 2.6


def play(build, serve):
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(build, folder)
        if serve:
            text = open(fleet.path("da0.ini")).read()
            fleet.write("da0.ini", text.replace("[daemon]\n", "[daemon]\ncut_off=serve\n"))
        try:
            fleet.start_all()
            if not fleet.wait_ready():
                fleet.tails()
                return ["the fleet is not ready"]
            for name in fleet.controls:
                fleet.kill(name)
            time.sleep(LEASE_S)
            return check(fleet, serve)
        finally:
            fleet.stop()


def check(fleet, serve):
    found, asks = [], {"booking-%d" % serve: "POST"}
    asks.update(("read-%d-%d" % (serve, n), "GET") for n in range(4))
    with concurrent.futures.ThreadPoolExecutor(len(asks)) as pool:
        told = {key: pool.submit(fleet.book, "e%d" % (n % 2), key, method=method, timeout=20)
                for n, (key, method) in enumerate(asks.items())}
    for key, method in asks.items():
        status, run, body = told[key].result()
        if serve and method == "GET":
            if (status, body) != (200, whole_of(key) * 10):
                found.append("%s was not answered: %d %s" % (key, status, run))
        elif run != "not-run" or key in Target.runs:
            found.append("%s ran without permit or claim: %d %s" % (key, status, run))
    return found


def main():
    found = [line for serve in (False, True) for line in play(sys.argv[1], serve)]
    for line in found:
        print("FAILED: " + line)
    return 1 if found else 0


sys.exit(main())
