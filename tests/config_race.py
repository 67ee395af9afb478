"""Two operators change the manifest at all members at once, with older, invalid and
repeated ones, and others under the same number, while members and relays end, pause,
or lose their connections. Judged by what operators read and callers are answered.

usage: config_race.py BUILD-FOLDER [SEED [SECONDS]]
"""
import http.client
import json
import random
import sys
import threading
import time

from relay_departs_cut import (CONTROL, RELAYS, kill, pause, reset, rest, silence)
from relay_fleet import run_checks, wait_for

SEED = int(sys.argv[2]) if len(sys.argv) > 2 else 45
SECONDS = float(sys.argv[3]) if len(sys.argv) > 3 else 60
# Time limits of the platform, in seconds.
APPLY_S, ROLLBACK_S, CONTACT_S, RECOVER_S = 2.5, 0.25, 3, 12
KEPT = 4  # a manifest has the routes of its number and of the three before
STEP = 3  # between versions


def manifest(fleet, n, **change):
    fleet.version = 0
    whole = json.loads(fleet.manifest())
    route = whole["routes"][0]
    whole["version"] = n * STEP
    whole["routes"] = [route] + [
        dict(route, name="v%d" % i, path_prefix="/v%d/" % i)
        for i in range(max(1, n - KEPT + 1), n + 1)]
    whole.update(change)
    return whole


class Race:
    def __init__(self, fleet):
        self.fleet = fleet
        self.lock = threading.Lock()
        self.newest = 2  # number of the newest that was sent
        self.sent = {2: time.time()}  # number to time
        self.told = {2: time.time()}
        self.calls = []  # relay, number, sent, ended, status
        self.reads = []  # member, sent, text
        self.faults = []  # what, begin, end of those that excuse
        self.lives = {n: [0.0] for n in RELAYS}
        self.errors = []
        self.counts = {}
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=run, args=args, daemon=True)
                        for run, args in [(self.operate, (1,)), (self.operate, (2,)),
                                          (self.read, ()), (self.disrupt, ())]
                        + [(self.call, (n,)) for n in range(8)]]
        for thread in self.threads:
            thread.start()

    def post(self, text, member):
        try:
            conn = http.client.HTTPConnection(
                "127.0.0.%d" % (self.fleet.shift + member), self.fleet.port + 1,
                timeout=1)
            conn.request("POST", "/configuration/replace", text)
            status = conn.getresponse().status
            conn.close()
            return status
        except (OSError, http.client.HTTPException):
            return 0

    def count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    def until_told(self, rng, text, what):
        """Sends until it is acknowledged; any member, as operators do."""
        while not self.stopped.is_set():
            status = self.post(text, rng.choice(CONTROL))
            if 400 <= status < 500:
                self.errors.append("%s refused with %d" % (what, status))
            if status == 200:
                self.count(what)
                return True
            time.sleep(0.03)
        return False

    def operate(self, seed):
        rng = random.Random(SEED * 10 + seed)
        while not self.stopped.is_set():
            with self.lock:
                self.newest += 1
                n = self.newest
                self.sent[n] = time.time()
            text = json.dumps(manifest(self.fleet, n))
            if rng.random() < 0.3:
                time.sleep(rng.uniform(0, 1))  # may be overtaken
            if not self.until_told(rng, text, "new"):
                return
            with self.lock:
                self.told[n] = time.time()
            self.provoke(rng, n, text)
            time.sleep(rng.uniform(0, 0.8))

    def provoke(self, rng, n, text):
        what = rng.random()
        if what < 0.25:
            self.until_told(rng, text, "repeated")
        elif what < 0.45:
            other = manifest(self.fleet, n)
            other["routes"].append(dict(other["routes"][0], name="other",
                                        path_prefix="/other/"))
            status = self.post(json.dumps(other), rng.choice(CONTROL))
            self.count("other content: %d" % status)
        elif what < 0.8:
            bad = manifest(self.fleet, n + 1000)
            bad["routes"].append(dict(bad["routes"][0], name="bad",
                                      path_prefix="/bad/"))
            what = rng.randrange(4)
            if what == 0:
                bad["routes"][-1]["backend"] = "unknown"
            elif what == 1:
                bad["routes"].append(dict(bad["routes"][-1], name="bad2"))
            elif what == 2:
                bad["routes"][-1]["timeout_ms"] = 0
            bad = json.dumps(bad)[:-1 if what == 3 else None]
            status = self.post(bad, rng.choice(CONTROL))
            self.count("invalid: %d" % status)
            if status == 200:
                self.errors.append("an invalid one was acknowledged")

    def read(self):
        while not self.stopped.is_set():
            for member in CONTROL:
                sent = time.time()
                try:
                    conn = http.client.HTTPConnection(
                        "127.0.0.%d" % (self.fleet.shift + member),
                        self.fleet.port + 1, timeout=1)
                    conn.request("GET", "/configuration/fetch")
                    answer = conn.getresponse()
                    text = answer.read()
                    conn.close()
                except (OSError, http.client.HTTPException):
                    continue
                if answer.status == 200:
                    self.reads.append((member, sent, text))
            time.sleep(0.05)

    def call(self, n):
        rng = random.Random(SEED * 100 + n)
        i = 0
        while not self.stopped.is_set():
            i += 1
            relay = RELAYS[n % len(RELAYS)]
            number = max(1, self.newest + rng.randint(-7, 0))
            name = rng.choice(("v%d" % number,) * 9 + ("bad", "other"))
            sent = time.time()
            status = self.fleet.call("safe", "ok", "c%d-%d" % (n, i), relay=relay,
                                     path="/%s/x" % name)[0]
            if name in ("bad", "other"):
                self.count("%s: %d" % (name, status))
                if status not in (404, 503, 0):
                    self.errors.append("%s in force: %d" % (name, status))
            else:
                self.calls.append((relay, number, sent, time.time(), status))
            time.sleep(0.01)

    def disrupt(self):
        rng = random.Random(SEED)
        fleet = self.fleet
        while not self.stopped.is_set():
            time.sleep(rng.uniform(0.5, 5))
            leader = fleet.leader() or rng.choice(CONTROL)
            relay = rng.choice(RELAYS)
            begin = time.time()
            what, act, lasts = rng.choice((
                ("leader killed", lambda: kill(fleet, leader), 1.5),
                ("member killed", lambda: kill(fleet, rng.choice(CONTROL)), 1.5),
                ("leader paused", lambda: pause(fleet, leader), 4),
                ("relay killed", lambda: self.restart(relay), 1),
                ("leader silent", lambda: silence(
                    fleet, (leader,), rest(leader) + RELAYS), 0),
                ("leader says nothing", lambda: silence(
                    fleet, (leader,), rest(leader) + RELAYS, "out"), 0),
                ("leader hears nothing", lambda: silence(
                    fleet, (leader,), rest(leader) + RELAYS, "in"), 0),
                ("relay silent", lambda: silence(fleet, CONTROL, (relay,)), 0),
                ("relay hears nothing", lambda: silence(
                    fleet, CONTROL, (relay,), "out"), 0),
                ("relay says nothing", lambda: silence(
                    fleet, CONTROL, (relay,), "in"), 0),
                ("all reset", lambda: reset(
                    fleet, (leader,), rest(leader) + RELAYS), 0)))
            self.faults.append((what, begin, begin + lasts))
            act()
            if lasts > 1:
                time.sleep(lasts)

    def restart(self, relay):
        self.fleet.kill("relay-%d" % relay)
        self.lives[relay].append(time.time())
        self.fleet.relay(relay)

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def disrupted(self, at):
        """Whether processes ended or were paused within the contact window."""
        return any(begin <= at and at - CONTACT_S <= end
                   for _, begin, end in self.faults if end > begin)

    def judge(self):
        errors, excused = list(self.errors), 0
        for member, sent, text in self.reads:
            read = json.loads(text)
            number = read["version"] // STEP
            floor = max(n for n, at in self.told.items() if at <= sent)
            if number < floor:
                errors.append("member %d answers %d, %d was acknowledged %.2f s "
                              "before" % (member, number, floor,
                                          sent - self.told[floor]))
            if read != manifest(self.fleet, number):
                errors.append("other content of %d is read" % number)
        seen = {n: [] for n in RELAYS}  # ended and number, of those served
        for relay, number, sent, ended, status in sorted(
                self.calls, key=lambda call: call[2]):
            life = max(at for at in self.lives[relay] if at <= sent)
            least = max([n for n, at in self.told.items() if at <= sent - APPLY_S],
                        default=0)
            held = max([n for at, n in seen[relay]
                        if life < at <= sent - ROLLBACK_S], default=0)
            most = max(n for n, at in self.sent.items() if at <= ended)
            for floor, what in ((least, "late"), (held, "back")):
                wrong = (status == 404 and most - KEPT < number <= floor
                         or status == 200 and number <= floor - KEPT)
                if wrong and what == "late" and self.disrupted(sent):
                    excused += 1
                elif wrong:
                    errors.append("%s: relay %d, %d answered %d, floor %d, "
                                  "newest %d, faults %s" % (
                                      what, relay, number, status, floor, most,
                                      [(w, round(sent - b, 2)) for w, b, _ in
                                       self.faults if 0 < sent - b < 8]))
            if status == 200:
                seen[relay].append((ended, number))
                del seen[relay][:-400]
        return errors, excused


def check_race(fleet):
    fleet.put_manifest(json.dumps(manifest(fleet, 2)))
    time.sleep(1)
    race = Race(fleet)
    time.sleep(SECONDS)
    race.stop()
    for n in CONTROL:  # one may have been killed last
        if fleet.processes["127.0.0.%d" % n].poll() is not None:
            fleet.control(n)
    last = max(race.told)
    wait_for("the newest is read", lambda: json.loads((fleet.control_request(
        "GET", "/configuration/fetch") or (0, '{"version":0}'))[1])[
            "version"] >= last * STEP, RECOVER_S)
    errors, excused = race.judge()
    served = sum(call[4] == 200 for call in race.calls)
    print("%d changes, %d calls, %d served, %d reads, %d faults, %s; %d late in the "
          "contact window of a fault, %d errors" % (
              len(race.told), len(race.calls), served, len(race.reads),
              len(race.faults), race.counts, excused, len(errors)), flush=True)
    for error in errors[:20]:
        print(error, flush=True)
    assert not errors, "%d errors" % len(errors)


if __name__ == "__main__":
    run_checks(sys.argv[1], [check_race], proxied=True)
