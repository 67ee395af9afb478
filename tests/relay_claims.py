"""Heartbeats of another writer, under new ids, at the addresses of living
targets; and new lives of targets, which take over their addresses."""
import sys
import threading
import time

from relay_fleet import Target, run_checks, wait_for

CLAIMED_S = 4
REQUESTS = 60
# A new life at an address is used within this time: two and a half heartbeat
# intervals of 400 ms, and a second for the way to the relays.
IN_USE_S = 2


class Writer:
    """Claims the addresses of all targets, ten times a second."""

    def __init__(self, fleet):
        self.fleet, self.sequence = fleet, 0
        self.stopped = threading.Event()
        self.taken = 0
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        while not self.stopped.wait(0.1):
            self.sequence += 1
            for n, target in enumerate(self.fleet.targets):
                _, text = target.statement(
                    sequence=self.sequence, backend="other", version="v7",
                    born=time.time_ns() // 10**6)
                answer = self.fleet.control_request(
                    "POST", "/instances/writer-%d/heartbeat" % n, text)
                self.taken += answer is not None and answer[0] == 200

    def stop(self):
        self.stopped.set()
        self.thread.join()


def check_living_targets_are_not_displaced(fleet):
    writer = Writer(fleet)
    answers = []
    for i in range(REQUESTS):
        answers.append(fleet.call("safe", attempt="claimed%d" % i,
                                  relay=5 + i % 2, timeout_ms=1000)[0])
        time.sleep(CLAIMED_S / REQUESTS)
    writer.stop()
    refused = len([status for status in answers if status != 200])
    print("%d of %d refused, %d claims taken" % (refused, REQUESTS,
                                                 writer.taken))
    assert writer.taken > 0
    assert refused == 0, answers


def check_new_lives_are_used_soon(fleet):
    for target in fleet.targets[1:]:
        target.stopped.set()
        assert target.post("deregister")[0] == 200
    time.sleep(1)
    target = fleet.targets[0]
    for life in range(3):
        threading.Thread(target=target.crash).start()
        wait_for("the target ended", lambda: target.socket.fileno() < 0)
        wait_for("a new life began", lambda: target.socket.fileno() >= 0)
        began = time.time()
        wait_for("the new life is used", lambda: fleet.call(
            "safe", attempt="life%d" % time.time_ns(), timeout_ms=500)[0] == 200
            and Target.arrivals[-1][0] == target.id)
        print("used after %.2f s" % (time.time() - began))
        assert time.time() - began < IN_USE_S
        time.sleep(0.5)


run_checks(sys.argv[1], [check_living_targets_are_not_displaced,
                         check_new_lives_are_used_soon])
