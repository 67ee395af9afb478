"""Checks that answers of bookings and of streams stay complete and that no request
runs twice while the connections between entries and agents are closed repeatedly.
usage: once_cut.py BUILD"""
import random
import sys
import threading
import time

from once_fleet import Target, expected_body, with_fleet

SECONDS = 6.0


def send_requests(fleet, number, end, results):
    n, rng = 0, random.Random(number)
    while time.monotonic() < end:
        n += 1
        key = "cut-%d-%d" % (number, n)
        entry = rng.choice(["e0", "e1"])
        if number % 2 == 0:
            results.append((key, expected_body(key), fleet.send_booking(entry, key)))
        else:
            results.append((key, expected_body(key) * 10,
                            fleet.send_booking(entry, key, method="GET")))


def run_test(fleet):
    end, results = time.monotonic() + SECONDS, []
    threads = [threading.Thread(target=send_requests, args=(fleet, n, end, results), daemon=True)
               for n in range(6)]
    for thread in threads:
        thread.start()
    cuts = 0
    while time.monotonic() < end:
        time.sleep(0.7)
        cuts += sum(relay.cut() for relay in fleet.relays.values())
    for thread in threads:
        thread.join(20)
    answered = sum(result[0] == 200 for _, _, result in results)
    truncated = [key for key, expected, result in results
                 if result[0] == 200 and result[2] != expected]
    twice = [key for key, runs in Target.runs.items() if runs > 1]
    lost = [(key, result[:2]) for key, _, result in results if result[0] != 200]
    print("%d bookings and streams, %d answered, %d links cut"
          % (len(results), answered, cuts))
    for problem, keys in (("the answer is incomplete", truncated), ("ran twice", twice),
                          ("not answered although its agent is running", lost)):
        for key in keys[:10]:
            print("FAILED: %s: %s" % (key, problem))
    if cuts < 10 or len(results) < 20:
        print("FAILED: fewer than 10 links were cut or fewer than 20 requests sent")
    return 1 if truncated or twice or lost or cuts < 10 or len(results) < 20 else 0


sys.exit(with_fleet(run_test, relays=True))
