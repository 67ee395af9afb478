"""Checks that bookings run at most once, that answers are complete and that the
"run" field of refusals is correct while entries, agents and control members are
killed. usage: once_kill.py BUILD"""
import random
import sys
import threading
import time

from once_fleet import Target, expected_body, with_fleet

SECONDS = 9.0
# Processes to kill and for how many seconds they stay down.
KILLS = [("e0", 0.6), ("da1", 0.6), ("c0", 1.0), ("da2", 0.6), ("e1", 0.6), ("c1", 1.0)]


class Caller(threading.Thread):
    """Sends bookings with new keys. Sends each booking at most four times, until
    it is answered. Also sends some bookings twice at the same time."""

    def __init__(self, fleet, number, end):
        super().__init__(daemon=True)
        self.fleet, self.number, self.end = fleet, number, end
        self.random = random.Random(number)
        self.results = {}  # key to the (status, run, body) of each send

    def run(self):
        n = 0
        while time.monotonic() < self.end:
            n += 1
            key = "k-%d-%d" % (self.number, n)
            self.results[key] = []
            if self.random.random() < 0.2:
                duplicate = threading.Thread(target=self.send, args=(key,), daemon=True)
                duplicate.start()
                self.send(key)
                duplicate.join()
            for _ in range(4):
                if self.send(key)[0] == 200:
                    break
                time.sleep(0.2)

    def send(self, key):
        result = self.fleet.send_booking(self.random.choice(["e0", "e1"]), key)
        self.results[key].append(result)
        return result


def find_failures(results):
    """Lists the results that violate at-most-once execution or misreport it."""
    failures = []
    for key, replies in results.items():
        runs = Target.runs.get(key, 0)
        if runs > 1:
            failures.append("%s ran %d times" % (key, runs))
        for status, run, body in replies:
            if status == 200 and body != expected_body(key):
                failures.append("%s: the answer is incomplete" % key)
            if status == 200 and runs == 0:
                failures.append("%s: answered but did not run" % key)
            if run == "ran" and runs == 0:
                failures.append("%s: reported as ran but did not run" % key)
        if runs > 0 and all(run == "not-run" for _, run, _ in replies):
            failures.append("%s: reported as not-run but ran" % key)
    return failures


def run_test(fleet):
    end = time.monotonic() + SECONDS
    callers = [Caller(fleet, n, end) for n in range(6)]
    for caller in callers:
        caller.start()
    for name, downtime in KILLS:
        time.sleep(0.6)
        fleet.kill(name)
        time.sleep(downtime)
        fleet.start(name)
    for caller in callers:
        caller.join(60)
    results = {}
    for caller in callers:
        results.update(caller.results)
    answered = sum(any(reply[0] == 200 for reply in replies) for replies in results.values())
    # After the faults a resend gets the answer or a refusal, never a second run.
    late_answers = 0
    for key, replies in results.items():
        if not any(reply[0] == 200 for reply in replies):
            replies.append(fleet.send_booking("e0", key))
            late_answers += replies[-1][0] == 200
    failures = find_failures(results)
    print("%d bookings, %d answered, %d more after the faults, %d resent, %d run"
          % (len(results), answered, late_answers,
             sum(len(replies) > 1 for replies in results.values()),
             sum(key in Target.runs for key in results)))
    for line in failures[:20]:
        print("FAILED: " + line)
    if answered < len(results) // 2 or len(results) < 20:
        fleet.print_logs()
        print("FAILED: fewer than half of the bookings answered, or fewer than 20 sent")
        return 1
    return 1 if failures else 0


sys.exit(with_fleet(run_test))
