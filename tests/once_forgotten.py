"""Checks that a booking is not refused as not run after its agent ran it while the link to
its entry was down, and no longer has its answer. usage: once_forgotten.py BUILD"""
import queue
import sys
import threading
import time

from once_fleet import BookingHandler, Fleet, Target, with_fleet

KEY = "forgotten"


class Handler(BookingHandler):
    """Answers the booking after `answer` is set."""

    def do_POST(self):
        if self.headers["Idempotency-Key"] == KEY:
            self.server.started.set()
            self.server.answer.wait(10)
        super().do_POST()


class SlowTarget(Target):
    handler = Handler

    def __init__(self, port):
        self.started, self.answer, self.down = threading.Event(), threading.Event(), False
        super().__init__(port)

    def process_request(self, request, client_address):
        if self.down:
            request.close()
        else:
            super().process_request(request, client_address)


def run_test(fleet):
    target, relay, replies = fleet.targets["a0"], fleet.relays["e0"], queue.Queue()
    threading.Thread(target=lambda: replies.put(fleet.send_booking("e0", KEY, timeout=20)),
                     daemon=True).start()
    assert target.started.wait(5)
    relay.down = True
    relay.cut()
    target.answer.set()
    target.down = True  # so that the booking waits for a target until its deadline
    assert fleet.log_has("da0", "TARGET_DOWN", 5)
    time.sleep(0.6)  # the agent drops the answer
    relay.down = False
    status, run, body = replies.get(timeout=20)
    ok = Target.runs.get(KEY) == 1 and status != 200 and run != "not-run"
    print("%s: ran %s times, then refused with %d, %s"
          % ("ok" if ok else "FAILED", Target.runs.get(KEY), status, run))
    if not ok:
        print(body)
        fleet.print_logs()
    return 0 if ok else 1


Fleet.agent_settings = [("hold_ms", 1)]
sys.exit(with_fleet(run_test, True, SlowTarget, ["c0", "c1", "c2", "e0", "e1", "da0"]))
