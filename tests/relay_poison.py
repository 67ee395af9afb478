"""Requests with one prompt part crash each target that begins to answer them; no
two of them are alike, and they reach both relays. After a few crashes they reach
no target any more, while requests with the other parts are served."""
import itertools
import sys
import threading
import time

from relay_fleet import Fleet, Target, wait_for

TARGETS = 6
CONTACT_WINDOW_S = 3  # from the fifth crash until all relays must know
CRASHES_BEFORE_KNOWN = 5
SENT_MAX = 3  # such requests that may reach targets later
DEADLY, FIRST, SECOND = "dead01", "f1", "5ec0"


def prefix(*parts):
    return {"X-Quetzalgate-Prefix-Hash": ",".join(p + ":100" for p in parts),
            "X-Quetzalgate-Token-Count": "%d,8" % (100 * len(parts))}


class Load:
    """Sends requests through both relays until stop() is called."""

    def __init__(self, fleet, name, pause, behavior, parts):
        self.results = []  # (time, status)
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(fleet, name, relay, pause,
                                                    behavior, parts))
            for relay in (5, 6)]
        for thread in self.threads:
            thread.start()

    def run(self, fleet, name, relay, pause, behavior, parts):
        for n in itertools.count():
            if self.stopped.wait(pause):
                return
            attempt = "%s-%d-%d" % (name, relay, n)
            began = time.time()
            status = fleet.call("resume", behavior, attempt=attempt,
                                relay=relay,
                                headers=prefix(*parts, "%x" % (n + 16)))[0]
            self.results.append((began, status))

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


def runs_since(name, since):
    return [run for attempt, runs in Target.runs.items()
            if attempt.startswith(name) for run in runs if run[3] > since]


def check_part(fleet):
    sound = Load(fleet, "sound", 0.05, "stream", (FIRST, SECOND))
    time.sleep(1)
    Target.deadly_part = DEADLY
    deadly = Load(fleet, "deadly", 0.2, "stream", (FIRST, DEADLY))
    wait_for("the fifth crash",
             lambda: len(Target.crashes) >= CRASHES_BEFORE_KNOWN, 20)
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


def main(build):
    fleet = Fleet(build)
    try:
        fleet.start_all(TARGETS)
        check_part(fleet)
        print("check_part ok")
    except BaseException:
        fleet.print_logs()
        raise
    finally:
        fleet.stop_all()


main(sys.argv[1])
