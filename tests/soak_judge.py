"""What the callers, the operator and the targets of a soak run saw, and the checks
of the platform's rules on it. Rules with a time bound hold for processes that are
in touch: those that had no disruption for TOUCH_S, while control had none either."""
import bisect
import collections
import re
import threading

TOUCH_S = 3.0      # bounds of the platform's rules
CONFIG_S = 2.5
DRAIN_S = 2.5
ROLLBACK_S = 0.25
KEY_LEASE_S = 5.0  # as fleet.relay() sets it
RETRY_RATIO, RETRY_WINDOW_S = 0.2, 10
MAX_ATTEMPTS = 2   # of all routes
MOST_CUT, MOST_ATTEMPTS = 3, 3  # cases that the rules allow in a run
DEADLINE_S = 3.0   # of all requests
LATE_S = 0.2       # a request that lasts nearly as long may be given up
NEVER = float("inf")

# Behaviours of a target that answers each request with success.
SOUND = re.compile("ok|brief|slow|stream|(run|big)-.*")
DENIALS = (401, 403, 404)

# A request: its relay, when it was sent and ended, the status (negative if the
# answer broke off), and what it depends on: a "route" or "key" that was added, a
# "gone" route that was dropped, or nothing.
Ask = collections.namedtuple(
    "Ask", "attempt relay sent ended status behavior depends")
# @who: "relay-N", "control", "target-ID" or "machine" (all of them). A planned one is
# a SIGTERM or SIGHUP.
Disruption = collections.namedtuple("Disruption", "who planned start end")


class Judge:
    def __init__(self, fail):
        self.fail = fail
        self.lock = threading.Lock()
        self.asks, self.disruptions = [], []
        self.added = {}    # route or key to the time of its acknowledgement
        self.dropped = {}  # route to the same of its removal
        self.acked = []    # time and version of acknowledged manifests, in order
        self.reads = []    # time, member and version of manifests read back
        self.leaves = []   # target id, time of its acknowledgement, and until when
        self.starts = collections.defaultdict(list)  # of each relay
        self.judged = collections.Counter()  # cases that were in touch

    # Recording.

    def disrupt(self, who, now, planned=False):
        """Returns a number to end() the disruption with."""
        with self.lock:
            self.disruptions.append(Disruption(who, planned, now, NEVER))
            return len(self.disruptions) - 1

    def end(self, number, now):
        with self.lock:
            self.disruptions[number] = self.disruptions[number]._replace(end=now)

    # Disruptions.

    def disrupted(self, who, start, end, planned=None):
        """Whether one of @who, or the machine, was disrupted from TOUCH_S before
        @start to @end."""
        return any((d.who in who or d.who == "machine")
                   and d.start <= end and d.end >= start - TOUCH_S
                   and planned in (None, d.planned) for d in self.disruptions)

    def in_touch(self, relay, start, end):
        return not self.disrupted(("relay-%d" % relay, "control"), start, end)

    def life(self, relay, at):
        return bisect.bisect(self.starts[relay], at)

    # Checks.

    def check_denied(self):
        for ask in self.asks:
            if ask.status in DENIALS and ask.depends is None:
                self.fail("DENIED: %s got %d at relay %d, although all manifests "
                          "allow it" % (ask.attempt, ask.status, ask.relay))

    def check_changes(self):
        """What was acknowledged is in force at relays in touch."""
        for ask in self.asks:
            if ask.depends is None:
                continue
            told = self.added.get(ask.depends, self.dropped.get(ask.depends))
            if told is None or ask.sent <= told + CONFIG_S \
                    or not self.in_touch(ask.relay, ask.sent, ask.ended):
                continue
            self.judged["changes"] += 1
            if ask.status in DENIALS if ask.depends in self.added \
                    else ask.status == 200:
                self.fail("CONFIG: %s got %d at relay %d, %.2f s after the "
                          "acknowledged change of %s" % (
                              ask.attempt, ask.status, ask.relay,
                              ask.sent - told, ask.depends))

    def check_regress(self):
        """A relay that has served a route doesn't refuse it later in its life."""
        served = {}
        for ask in sorted(self.asks, key=lambda ask: ask.ended):
            if ask.depends not in self.added:
                continue
            life = self.life(ask.relay, ask.sent)
            if life != self.life(ask.relay, ask.ended):
                continue
            what = ask.relay, life, ask.depends
            if ask.status == 200:
                served.setdefault(what, ask.ended)
            elif ask.status in DENIALS and ask.sent > served.get(
                    what, NEVER) + ROLLBACK_S:
                self.fail("CONFIG: %s got %d at relay %d, which served %s "
                          "%.2f s before" % (
                              ask.attempt, ask.status, ask.relay, ask.depends,
                              ask.sent - served[what]))

    def check_reads(self):
        for at, member, version in self.reads:
            told = [acked for when, acked in self.acked if when + CONFIG_S < at]
            if told and version < max(told):
                self.fail("CONFIG: version %d read at member %d, version %d had "
                          "been acknowledged" % (version, member, max(told)))

    def check_leaves(self, arrivals):
        relays = {ask.attempt: ask.relay for ask in self.asks}
        for target, told, until in self.leaves:
            if self.disrupted(("control",), told, told):
                continue  # not acknowledged by a process in touch
            self.judged["leaves"] += 1
            late = [(at - told, attempt, relays[attempt])
                    for who, attempt, at in arrivals
                    if who == target and told + DRAIN_S < at < until
                    and attempt in relays
                    and self.in_touch(relays[attempt], at, at)
                    and not self.disrupted(("target-" + target,), at, at)]
            if late:
                self.fail("DRAIN: %d requests at %s later than %.1f s after its "
                          "acknowledged leave, the last %.2f s after: %s from "
                          "relay %d" % ((len(late), target, DRAIN_S) + max(late)))

    def check_budget(self, arrivals, extra):
        """The retry budget of each window over all relays; the requests of a
        window are those in it, in the one before or half a window before,
        whichever are most."""
        known, seen, repeats = {ask.attempt for ask in self.asks}, set(), []
        for _, attempt, at in sorted(arrivals, key=lambda arrival: arrival[2]):
            if attempt in seen:
                repeats.append(at)
            elif attempt in known:
                seen.add(attempt)
        sent = sorted(ask.sent for ask in self.asks
                      if ask.status not in DENIALS)

        def requests(start):
            return (bisect.bisect_left(sent, start + RETRY_WINDOW_S)
                    - bisect.bisect_left(sent, start))

        worst = -NEVER, 0
        for start in repeats:
            if self.disrupted((), start, start + RETRY_WINDOW_S):
                continue  # the times of arrivals are wrong
            self.judged["budget windows"] += 1
            count = (bisect.bisect_right(repeats, start + RETRY_WINDOW_S)
                     - bisect.bisect_left(repeats, start))
            allowed = extra + RETRY_RATIO * max(
                requests(start - back)
                for back in (0, RETRY_WINDOW_S / 2, RETRY_WINDOW_S))
            worst = max(worst, (count - allowed, count))
        print("budget: %.1f over at most, with %d repeats" % worst)
        if worst[0] > 0:
            self.fail("BUDGET: %.1f repeats more than allowed (%d) in %g s"
                      % (worst + (RETRY_WINDOW_S,)))

    def check_attempts(self, runs):
        """Requests that run at more targets than their route allows."""
        asks = {ask.attempt: ask for ask in self.asks}
        many = []
        for attempt, its in runs.items():
            targets = {run[0] for run in its}
            ask = asks.get(attempt)
            if ask and len(targets) > MAX_ATTEMPTS and not self.disrupted(
                    {"target-" + target for target in targets},
                    ask.sent, ask.ended):
                many.append(attempt)
        if len(many) > MOST_ATTEMPTS:
            self.fail("BUDGET: %d requests ran at more than %d targets: %s"
                      % (len(many), MAX_ATTEMPTS, many[:5]))

    def check_lost(self, runs):
        """A request that was passed on to a sound target gets its answer, unless
        an unplanned disruption or a time limit ends it."""
        cut = []
        for ask in self.asks:
            its = runs.get(ask.attempt, ())
            if not its or not SOUND.fullmatch(ask.behavior) \
                    or ask.ended - ask.sent > DEADLINE_S - LATE_S:
                continue
            relay, target = "relay-%d" % ask.relay, "target-" + its[-1][0]
            if self.disrupted((relay, "control", target), ask.sent, ask.ended,
                              planned=False):
                continue
            planned = self.disrupted((relay,), ask.sent, ask.ended, planned=True)
            self.judged["beside stops" if planned else "answers"] += 1
            if ask.status > 0:
                continue
            text = "LOST: %s (%s) broke off at relay %d after %.2f s" % (
                ask.attempt, ask.behavior, ask.relay, ask.ended - ask.sent)
            if planned:
                self.fail(text + ", beside its SIGTERM or SIGHUP")
            else:
                cut.append(text)
        if len(cut) > MOST_CUT:
            for text in cut:
                self.fail(text)

    def check(self, arrivals, runs, extra):
        self.check_denied()
        self.check_changes()
        self.check_regress()
        self.check_reads()
        self.check_leaves(arrivals)
        self.check_budget(arrivals, extra)
        self.check_attempts(runs)
        self.check_lost(runs)
        broken = self.judged["left behind, broken off"]
        if broken > max(MOST_CUT, self.judged["left behind, whole"]):
            self.fail("LOST: %d whole answers were broken off whose targets left "
                      "right behind them" % broken)
        print("judged:", dict(self.judged))
