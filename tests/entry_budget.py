"""The retries of all entries together stay within the retry budget of a service while
entries end and return. usage: entry_budget.py BUILD [CHECK...]"""
import bisect
import random
import re
import sys
import threading
import time
import urllib.request

from once_fleet import BookingHandler, Fleet, Target, with_fleet

BURST, PERCENT = 10, 20  # QG_RETRY_BURST and retry_percent of the service
WINDOWS_S = (2, 5, 10, 20)
DELAY_S = 1  # usual longest time from a retry's decision to its arrival
CALLERS, SECONDS, SEED = 12, 20, 45


class Handler(BookingHandler):
    """Refuses the first arrival of every other request with 503."""
    arrivals = []  # (time, key)

    def do_GET(self):
        key = self.headers.get("X-Key")
        if key is None:
            self.answer(b"ok\n")
            return
        with Target.lock:
            first = key not in Target.runs
            Target.runs[key] = Target.runs.get(key, 0) + 1
            self.arrivals.append((time.monotonic(), key))
        status = 503 if first and key.endswith("1") else 200
        self.send_response(status)
        self.send_header("Content-Length", "0")
        self.end_headers()


class BusyTarget(Target):
    handler = Handler


def call_until(fleet, stopped, n, name, sent):
    i = 0
    while not stopped.is_set():
        i += 1
        sent.append(time.monotonic())
        fleet.send_booking("e%d" % (n % 2), "%s-%d-%d-%d" % (name, n, i, i // 2 % 2),
                           method="GET")
        stopped.wait(0.02)


def count_between(times, start, end):
    return bisect.bisect_right(times, end) - bisect.bisect_left(times, start)


def most_over(name, sent):
    """By how many retries the budget is exceeded in the worst window, and the greatest
    part of the budget that is used in a window."""
    seen, retries = set(), []
    for at, key in sorted(Handler.arrivals):
        if key.startswith(name) and key in seen:
            retries.append(at)
        seen.add(key)
    sent = sorted(sent)
    assert len(retries) > BURST, "only %d retries" % len(retries)
    over, used = [], []
    for start in retries:
        for length in WINDOWS_S:
            allowed = BURST + PERCENT / 100 * count_between(sent, start - DELAY_S,
                                                            start + length)
            count = count_between(retries, start, start + length)
            over.append(count - allowed)
            used.append(count / allowed)
    return max(over), max(used), len(retries)


def check(fleet, name, entries, seconds=SECONDS):
    """Calls both entries; some are killed and start again at random times."""
    rng, sent, stopped = random.Random(SEED), [], threading.Event()
    threads = [threading.Thread(target=call_until, args=(fleet, stopped, n, name, sent),
                                daemon=True) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    end, kills = time.monotonic() + seconds, 0
    while time.monotonic() < end:
        time.sleep(rng.uniform(0.5, 2.5))
        for entry in entries:
            fleet.kill(entry)
            fleet.start(entry)
            kills += 1
    stopped.set()
    for thread in threads:
        thread.join()
    over, used, retries = most_over(name, sent)
    print("%s: %d requests, %d retries, %d kills, %.1f over, %.0f %% used"
          % (name, len(sent), retries, kills, over, 100 * used))
    return over, used


def sharers(fleet, entry):
    with urllib.request.urlopen("http://127.0.0.1:%d/metrics" % fleet.admins[entry]) as answer:
        return float(re.search(rb"(?m)^\w*entry_sharers(?:{.*})? ([0-9.]+)$", answer.read())[1])


def wait_until_entries_know_their_number(fleet):
    end = time.monotonic() + 15
    while any(sharers(fleet, entry) != len(fleet.entries) for entry in fleet.entries):
        assert time.monotonic() < end, {entry: sharers(fleet, entry) for entry in fleet.entries}
        time.sleep(0.2)


def run_test(fleet):
    failed = 0
    wait_until_entries_know_their_number(fleet)
    for name, entries in (("steady", ()), ("one", ("e1",)), ("both", ("e0", "e1"))):
        over, used = check(fleet, name, entries)
        if over > 0:
            print("FAILED: %s: %.1f retries over the budget" % (name, over))
            failed = 1
        if name == "steady" and used < 0.75:
            print("FAILED: only %.0f %% of the budget can be used" % (100 * used))
            failed = 1
    return failed


Fleet.retry_percent = PERCENT
sys.exit(with_fleet(run_test, make_target=BusyTarget))
