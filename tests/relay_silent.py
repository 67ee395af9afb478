"""Open connections between the processes of a fleet go silent for good, without a
reset, while new ones work. What control acknowledges meanwhile has to be in force
at the relays within the platform's time limits."""
import json
import sys
import threading
import time

from relay_fleet import Target, run_checks, wait_for

CONFIG_S = 2.5  # time limits of the platform
DRAIN_S = 2.5
WATCHED_S = 2.5  # observed after these limits
ROUNDS = 3
CONTROL, RELAYS = (2, 3, 4), (5, 6)


def silence(fleet, processes, name=None):
    """Silences the open connections to some processes; of @name, or of all."""
    return sum(fleet.proxies[n].silence(name) for n in processes)


def manifest_with_route(fleet, name):
    manifest = json.loads(fleet.manifest())
    manifest["routes"].append(dict(manifest["routes"][0], name=name,
                                   path_prefix="/%s/" % name))
    return json.dumps(manifest)


class Callers:
    """Calls a path at all relays until stopped; notes when each answer's request
    was sent, its relay and its status."""

    def __init__(self, fleet, path, attempt):
        self.fleet, self.path, self.attempt = fleet, path, attempt
        self.answers = []
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(n,), daemon=True)
                        for n in range(8)]
        for thread in self.threads:
            thread.start()

    def run(self, n):
        i = 0
        while not self.stopped.is_set():
            i += 1
            sent, relay = time.time(), 5 + n % 2
            status = self.fleet.call(
                "safe", "brief", "%s-%d-%d" % (self.attempt, n, i), relay=relay,
                path=self.path)[0]
            self.answers.append((sent, relay, status))
            time.sleep(0.01)

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()


def add_route(fleet, processes, name=None):
    """Adds a route as connections go silent."""
    route = "r%d" % fleet.version
    callers = Callers(fleet, "/%s/x" % route, route)
    assert silence(fleet, processes, name) > 0
    fleet.put_manifest(manifest_with_route(fleet, route))
    told = time.time()
    time.sleep(CONFIG_S + WATCHED_S)
    callers.stop()
    late = [(sent - told, relay) for sent, relay, status in callers.answers
            if status == 404 and sent > told + CONFIG_S]
    assert not late, "%d requests refused with 404 up to %.1f s after" % (
        len(late), max(late)[0])
    served = [status == 200 for sent, _, status in callers.answers
              if sent > told + CONFIG_S]
    assert sum(served) > 0.9 * len(served), "%d of %d served" % (
        sum(served), len(served))


def leave(fleet, processes, name=None):
    """A target says that it leaves as connections go silent."""
    target = fleet.targets[0]
    callers = Callers(fleet, None, "leave%d" % fleet.version)
    assert silence(fleet, processes, name) > 0
    target.state = "draining"

    def acknowledged():
        answer = target.post("heartbeat")
        return answer is not None and answer[0] == 200

    wait_for("the leave is acknowledged", acknowledged)
    told = time.time()
    time.sleep(DRAIN_S + WATCHED_S)
    callers.stop()
    late = [at - told for target_id, _, at in Target.arrivals
            if target_id == target.id and at > told + DRAIN_S]
    target.stop()
    number = 10 + int(target.id.split("-")[1])
    fleet.targets[0] = Target(fleet, number, "app", "dc0")
    wait_for("the new target is used", lambda: fleet.call(
        "safe", attempt="new%d" % time.time_ns())[0] == 200 and any(
            run[0] == fleet.targets[0].id for run in Target.arrivals[-9:]))
    assert not late, "%d requests sent up to %.1f s after" % (
        len(late), max(late))


def check_route_beside_silence_to_control(fleet):
    for _ in range(ROUNDS):
        add_route(fleet, CONTROL, "relay-5")


def check_leave_beside_silence_to_control(fleet):
    for _ in range(ROUNDS):
        leave(fleet, CONTROL, "relay-5")


def check_route_beside_silence_everywhere(fleet):
    for _ in range(ROUNDS):
        add_route(fleet, CONTROL + RELAYS)


def check_leave_beside_silence_everywhere(fleet):
    for _ in range(ROUNDS):
        leave(fleet, CONTROL + RELAYS)


CHECKS = [check_route_beside_silence_to_control,
          check_leave_beside_silence_to_control,
          check_route_beside_silence_everywhere,
          check_leave_beside_silence_everywhere]
run_checks(sys.argv[1], [check for check in CHECKS if not sys.argv[2:]
                         or check.__name__ in sys.argv[2:]], proxied=True)
