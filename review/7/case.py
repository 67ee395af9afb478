"""An unsafe request whose answer is lost runs again where its route has
stream_resume."""
import collections
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import rig

REQUESTS = 45
LOST_PART = 0.3  # of the requests of one of three runners


def case(fleet, trouble):
    lock, count = threading.Lock(), collections.Counter()

    def behave(runner, conn, fields, body):
        if runner is not fleet.runners[0]:
            return None
        with lock:
            count["all"] += 1
            lose = trouble and count["lost"] + 1 <= LOST_PART * count["all"]
            count["lost"] += lose
        if not lose:
            return None
        time.sleep(0.03)
        fleet.record("runner %s loses its answer to %s", runner.id,
                     fields["x-quetzalgate-attempt-id"])
        rig.Runner.reset(conn)
        return False

    fleet.start()
    routes = [rig.route("orders", "/orders/", "orderbook", "unsafe",
                        timeout_ms=3000, stream_resume=True)]
    status = fleet.order("POST", "/configuration/replace",
                         fleet.desired_state(routes, [rig.service("orderbook")]))
    if status != 200:
        raise rig.CannotRun("the desired state was refused")
    for zone in fleet.zones:
        rig.Runner(fleet, "orderbook", zone, behave, slots=6)
    for n in (1, 2, 3):
        fleet.wait("machine %d is ready" % n, lambda: fleet.ready(n))
    time.sleep(15)  # a relay that has started repeats nothing for a window
    count.clear()
    began, answers = time.time(), {}
    for i in range(REQUESTS):
        attempt = "order-%04d" % i
        answers[attempt] = fleet.request(1 + i % 3, "/orders/%d" % i, attempt,
                                         limit=3.0,
                                         body=b"{\"order\":%d}" % i)[0]
        time.sleep(0.02)
    fleet.record("%d of %d requests of %s lost their answers, within %.1f s",
                 count["lost"], count["all"], fleet.runners[0].id,
                 time.time() - began)
    time.sleep(0.5)
    runs = collections.Counter(attempt for runner in fleet.runners
                               for attempt, _ in runner.runs)
    fleet.record("answers: %s", dict(collections.Counter(answers.values())))
    return ["TWICE: %s ran %d times" % (attempt, n)
            for attempt, n in sorted(runs.items()) if n > 1]


sys.exit(rig.main(HERE, case))
