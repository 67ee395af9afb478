"""Checks that a graceful shutdown interrupts no request: each process in turn gets
SIGTERM and is restarted while bookings and streams run. usage: once_drain.py BUILD"""
import random
import sys
import threading
import time

from once_fleet import Target, expected_body, with_fleet

SECONDS = 8.0
SHUTDOWN_ORDER = ["da0", "e0", "da1", "c0", "e1", "da2"]


def send_requests(fleet, number, end, results):
    n, rng = 0, random.Random(number)
    while time.monotonic() < end:
        n += 1
        key = "drain-%d-%d" % (number, n)
        method, expected = (("POST", expected_body(key)) if number % 2 == 0
                            else ("GET", expected_body(key) * 10))
        replies = []
        for entry in rng.sample(["e0", "e1"], 2) * 3:
            replies.append(fleet.send_booking(entry, key, method=method))
            if replies[-1][0] == 200:
                break
            time.sleep(0.1)
        results.append((key, expected, replies))


def run_test(fleet):
    end, results, failures = time.monotonic() + SECONDS, [], []
    threads = [threading.Thread(target=send_requests, args=(fleet, n, end, results), daemon=True)
               for n in range(6)]
    for thread in threads:
        thread.start()
    for name in SHUTDOWN_ORDER:
        time.sleep(0.5)
        fleet.procs[name].terminate()
        try:
            if fleet.procs[name].wait(8) != 0:
                failures.append("%s exited with an error" % name)
        except Exception:
            failures.append("%s does not exit" % name)
            fleet.kill(name)
        fleet.start(name)
    for thread in threads:
        thread.join(20)
    for key, expected, replies in results:
        if replies[-1][0] != 200:
            failures.append("%s was not answered: %s" % (key, replies[-1][:2]))
        elif replies[-1][2] != expected:
            failures.append("%s: the answer is incomplete" % key)
        if any(run in ("unknown", "ran") for _, run, _ in replies):
            failures.append("%s was interrupted: %s" % (key, [reply[:2] for reply in replies]))
        # A GET is idempotent: it may run again if none of its answer was sent.
        if expected == expected_body(key) and Target.runs.get(key, 0) > 1:
            failures.append("%s ran twice" % key)
    print("%d bookings and streams over %d shutdowns, %d refused at first"
          % (len(results), len(SHUTDOWN_ORDER),
             sum(len(replies) > 1 for _, _, replies in results)))
    for line in failures[:20]:
        print("FAILED: " + line)
    if failures:
        fleet.print_logs()
    return 1 if failures or len(results) < 20 else 0


sys.exit(with_fleet(run_test))
