"""An entry that is cut off from control, but not from the agents, decides by an old
document. What a change took away is not run later than one lease after the change was
accepted, and what it added is not refused as forbidden.
usage: entry_cut_off.py BUILD"""
import hashlib
import sys
import threading
import time

from once_fleet import KEY, Target, with_fleet

BOUND_S = 3  # docs/design/cut-off.md
WATCHED_S = 2
WORKSPACE = [("weight", 1), ("queue_limit", 500)]


def workspace(key):
    return ("workspace hall-7",
            WORKSPACE + [("key_sha256", hashlib.sha256(key.encode()).hexdigest())])


class Caller(threading.Thread):
    def __init__(self, fleet, entry, token, name):
        super().__init__(daemon=True)
        self.fleet, self.entry, self.token, self.name_ = fleet, entry, token, name
        self.sent, self.stopped = [], threading.Event()  # (time, key, status, run)
        self.start()

    def run(self):
        n = 0
        while not self.stopped.wait(0.05):
            n += 1
            key, at = "%s-%d" % (self.name_, n), time.monotonic()
            status, run, _ = self.fleet.send_booking(self.entry, key, method="GET",
                                                     token=self.token)
            self.sent.append((at, key, status, run))

    def stop(self):
        self.stopped.set()
        self.join()
        return self.sent


def cut_off(fleet, entry):
    for name in fleet.controls:
        fleet.proxies[name].cut(entry)


def restore(fleet):
    for name in fleet.controls:
        fleet.proxies[name].heal()


def check(fleet, name, change, undo, new_token=None):
    failures = []
    cut_off(fleet, "e0")
    time.sleep(0.5)
    old = [Caller(fleet, entry, KEY, "%s-old-%s" % (name, entry)) for entry in fleet.entries]
    new = Caller(fleet, "e0", new_token, name + "-new") if new_token else None
    time.sleep(0.5)
    change()
    accepted = time.monotonic()
    time.sleep(BOUND_S + WATCHED_S)
    for caller in old:
        sent = caller.stop()
        before = sum(status == 200 for at, _, status, _ in sent if at < accepted)
        late = [at - accepted for at, key, status, _ in sent
                if at > accepted + BOUND_S and (status == 200 or key in Target.runs)]
        wrong = [run for at, _, status, run in sent if status != 200 and run != "not-run"]
        statuses = {status for at, _, status, _ in sent if at > accepted + BOUND_S}
        print("%s, %s: %d served before, %d later than %d s after, then %s"
              % (name, caller.entry, before, len(late), BOUND_S, statuses))
        if not before or late or wrong:
            failures.append("%s at %s: %d served before, %d late, last after %.1f s, %d not "
                            "refused as not run" % (name, caller.entry, before, len(late),
                                                    max(late, default=0), len(wrong)))
    if new:
        sent = [status for at, _, status, _ in new.stop() if at > accepted + BOUND_S]
        print("%s: the new key at e0 gets %s" % (name, set(sent)))
        if not sent or 401 in sent or 403 in sent:
            failures.append("%s: the new key is refused with %s" % (name, set(sent)))
    undo()
    restore(fleet)
    if not fleet.wait_ready():
        failures.append(name + ": not ready again")
    return failures


def run_test(fleet):
    grant = ("grant hall-7", [("services", "bookings;drafts")])
    failures = check(fleet, "grant", lambda: fleet.apply(remove=["grant hall-7"]),
                     lambda: fleet.apply(grant))
    failures += check(fleet, "key", lambda: fleet.apply(workspace("new")),
                      lambda: fleet.apply(workspace(KEY)), "new")
    for line in failures:
        print("FAILED: " + line)
    if failures:
        fleet.print_logs()
    return 1 if failures else 0


sys.exit(with_fleet(run_test, proxied=True))
