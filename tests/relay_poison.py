"""Requests crash each target that runs them, through all relays: requests with
one prompt part, of which no two are alike, or one request that is sent again and
again. After a few crashes they reach no target any more, while other requests are
served. The argument names the check."""
import itertools
import json
import random
import sys
import threading
import time

from relay_fleet import Target, run_checks, wait_for

TARGETS = 6
CONTACT_WINDOW_S = 3  # from the fifth crash until all relays must know
CRASHES_BEFORE_KNOWN = {"part": 5, "request": 3, "silent": 3}
SILENT_TIMEOUT_MS = 1100  # of requests under which targets fall silent
SENT_MAX = 3  # such requests that may reach targets later
RESTARTED_S = 12  # how long relays end and return
SEED = 45
DEADLY, FIRST, SECOND = "dead01", "f1", "5ec0"


def prefix(*parts):
    return {"X-Quetzalgate-Prefix-Hash": ",".join(p + ":100" for p in parts),
            "X-Quetzalgate-Token-Count": "%d,8" % (100 * len(parts))}


class Load:
    """Sends requests through both relays until stop() is called."""

    def __init__(self, fleet, name, pause, route, behavior, headers, body,
                 timeout_ms=3000, relays=(5, 6)):
        self.results = []  # (time, status)
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(fleet, name, relay, pause,
                                                    route, behavior, headers,
                                                    body, timeout_ms))
            for relay in relays]
        for thread in self.threads:
            thread.start()

    def run(self, fleet, name, relay, pause, route, behavior, headers, body,
            timeout_ms):
        self.stopped.wait(pause if relay == 5 else 2 * pause)
        for n in itertools.count():
            if self.stopped.wait(pause):
                return
            attempt = "%s-%d-%d" % (name, relay, n)
            began = time.time()
            status = fleet.call(route, behavior, attempt=attempt, relay=relay,
                                headers=headers(n), body=body(n),
                                timeout_ms=timeout_ms)[0]
            self.results.append((began, status))

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


def runs_since(name, since):
    return [run for attempt, runs in Target.runs.items()
            if attempt.startswith(name) for run in runs if run[3] > since]


def check(fleet, name, start_sound, start_deadly):
    sound = start_sound()
    time.sleep(1)
    deadly = start_deadly()
    crashes = CRASHES_BEFORE_KNOWN[name]
    wait_for("%d crashes" % crashes,
             lambda: len(Target.crashes) >= crashes, 20)
    known = time.time() + CONTACT_WINDOW_S
    time.sleep(2 * CONTACT_WINDOW_S)
    quiet = time.time()
    time.sleep(3)
    deadly.stop()
    sound.stop()
    sent = runs_since("deadly", known)
    assert len(sent) <= SENT_MAX, (len(sent), len(Target.crashes))
    late = [status for began, status in sound.results if began > quiet]
    served = late.count(200)
    assert len(late) > 20 and served > 0.9 * len(late), (served, len(late))
    refused = [status for began, status in deadly.results if began > quiet]
    assert refused and set(refused) == {503}, set(refused)
    print("%d crashes; %d such requests sent later, %d of %d sound served"
          % (len(Target.crashes), len(sent), served, len(late)))


def check_part(fleet):
    def start(name, pause, second):
        return Load(fleet, name, pause, "resume", "stream",
                    lambda n: prefix(FIRST, second, "%x" % (n + 16)),
                    lambda n: "x")

    def start_deadly():
        Target.deadly_part = DEADLY
        return start("deadly", 0.2, DEADLY)

    check(fleet, "part", lambda: start("sound", 0.05, SECOND), start_deadly)


def check_request(fleet):
    def start(name, pause, behavior, body):
        return Load(fleet, name, pause, "safe", behavior, lambda n: {}, body)

    check(fleet, "request",
          lambda: start("sound", 0.05, "ok", lambda n: "sound %d" % n),
          lambda: start("deadly", 0.3, "die", lambda n: "deadly"))


def check_silent(fleet):
    """The targets close no connection when they end."""
    check(fleet, "silent",
          lambda: Load(fleet, "sound", 0.05, "safe", "ok", lambda n: {},
                       lambda n: "sound %d" % n),
          lambda: Load(fleet, "deadly", 0.3, "safe", "hush", lambda n: {},
                       lambda n: "deadly", SILENT_TIMEOUT_MS))


def check_request_beside_silence(fleet):
    """Connections to control go silent as a crash is reported."""
    stopped = threading.Event()

    def silence():
        seen = 0
        while not stopped.wait(0.005):
            if len(Target.crashes) > seen:
                seen = len(Target.crashes)
                for n in (2, 3, 4):
                    for relay in (5, 6):
                        fleet.proxies[n].silence("relay-%d" % relay)

    thread = threading.Thread(target=silence)
    thread.start()
    try:
        check_request(fleet)
    finally:
        stopped.set()
        thread.join()


def check_request_beside_restarts(fleet):
    """Relays end and return; the one that goes on sends few such requests, and so
    do the others once they go on."""
    rng = random.Random(SEED)
    loads = [Load(fleet, "deadly", 0.3, "safe", "die", lambda n: {},
                  lambda n: "deadly", relays=(5, 6, 7))]
    end = time.time() + RESTARTED_S
    while time.time() < end:
        time.sleep(rng.uniform(0.5, 2.5))
        for n in (5, 6):
            fleet.kill("relay-%d" % n)
            fleet.relay(n)
    calm = time.time() + CONTACT_WINDOW_S
    time.sleep(3 * CONTACT_WINDOW_S)
    loads[0].stop()
    assert len(Target.crashes) >= 3, len(Target.crashes)
    known = sorted(Target.crashes)[2] + CONTACT_WINDOW_S
    sent = [attempt for attempt, runs in Target.runs.items()
            for run in runs if attempt.startswith("deadly")
            and run[3] > (known if "-7-" in attempt else max(known, calm))]
    print("%d crashes; %d such requests sent later" % (len(Target.crashes),
                                                       len(sent)))
    assert len(sent) <= SENT_MAX, sent


def check_quarantine_at_start(fleet):
    """A relay that starts knows what is quarantined before it sends."""
    manifest = json.loads(fleet.manifest())
    for route in manifest["routes"]:
        route["anonymous"] = True  # others wait for the permit
    fleet.put_manifest(json.dumps(manifest))
    deadly = Load(fleet, "deadly", 0.3, "safe", "die", lambda n: {},
                  lambda n: "deadly", relays=(5,))
    wait_for("%d crashes" % CRASHES_BEFORE_KNOWN["request"],
             lambda: len(Target.crashes) >= CRASHES_BEFORE_KNOWN["request"], 20)
    time.sleep(2 * CONTACT_WINDOW_S)
    deadly.stop()
    known = time.time()
    rng = random.Random(SEED)
    loads = [Load(fleet, "deadly%d" % n, 0, "safe", "die", lambda n: {},
                  lambda n: "deadly", relays=(6,)) for n in range(8)]
    for _ in range(10):
        for n in (2, 3, 4):
            fleet.proxies[n].new_delay_s, fleet.proxies[n].new_chunk = 0.01, 128
        fleet.kill("relay-6")
        fleet.relay(6)
        time.sleep(rng.uniform(0.5, 2.5))
    for load in loads:
        load.stop()
    answered = sum(len(load.results) for load in loads)
    sent = runs_since("deadly", known)
    print("%d such requests sent of %d" % (len(sent), answered))
    assert not sent, len(sent)


CHECKS = {"part": check_part, "request": check_request,
          "silent": check_silent,
          "silence": check_request_beside_silence,
          "restarts": check_request_beside_restarts,
          "start": check_quarantine_at_start}


run_checks(sys.argv[1], [CHECKS[sys.argv[2]]], TARGETS,
           proxied=sys.argv[2] in ("silence", "start"),
           relays=(5, 6, 7) if sys.argv[2] == "restarts" else (5, 6))
