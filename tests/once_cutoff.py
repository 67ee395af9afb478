"""Kills all control members. By default no new request runs, and each is refused
as not run; an agent with cut_off=serve still runs idempotent requests, and only
those. usage: once_cutoff.py BUILD"""
import concurrent.futures
import sys
import tempfile
import time

from once_fleet import Fleet, Target, expected_body

PERMIT_S = 2.6  # QG_BOARD_DEFAULT_PERMIT_US


def run_fleet(build, serve):
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(build, folder)
        if serve:
            text = open(fleet.path("da0.ini")).read()
            fleet.write("da0.ini", text.replace("[daemon]\n", "[daemon]\ncut_off=serve\n"))
        try:
            fleet.start_all()
            if not fleet.wait_ready():
                fleet.print_logs()
                return ["the fleet is not ready"]
            for name in fleet.controls:
                fleet.kill(name)
            time.sleep(PERMIT_S)
            failures = check(fleet, serve)
            fleet.start(*fleet.controls)
            failures += ["%s does not log that its permit %s" % (name, what)
                         for what in ("ended: leader=", "granted again: leader=")
                         for name in ("e0", "da0")
                         if not fleet.log_has(name, "PERMIT: " + what, 10)]
            return failures
        finally:
            fleet.stop()


def check(fleet, serve):
    failures, requests = [], {"booking-%d" % serve: "POST"}
    requests.update(("read-%d-%d" % (serve, n), "GET") for n in range(4))
    with concurrent.futures.ThreadPoolExecutor(len(requests)) as pool:
        results = {key: pool.submit(fleet.send_booking, "e%d" % (n % 2), key, method=method,
                                    timeout=20)
                   for n, (key, method) in enumerate(requests.items())}
    for key, method in requests.items():
        status, run, body = results[key].result()
        if serve and method == "GET":
            if (status, body) != (200, expected_body(key) * 10):
                failures.append("%s was not answered: %d %s" % (key, status, run))
        elif run != "not-run" or key in Target.runs:
            failures.append("%s ran without a permit or a claim: %d %s" % (key, status, run))
    return failures


def main():
    failures = [line for serve in (False, True) for line in run_fleet(sys.argv[1], serve)]
    for line in failures:
        print("FAILED: " + line)
    return 1 if failures else 0


sys.exit(main())
