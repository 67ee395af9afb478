"""Checks that a request that waits to run alone at its target is not started once its data
centre was taken out. usage: once_held.py BUILD"""
import sys
import threading
import time

from once_fleet import BookingHandler, Fleet, Target, with_fleet

BOUND_S = 3  # docs/design/cut-off.md
LONG_S = 4.5


class Handler(BookingHandler):
    """The first two reads crash the target, and bookings take long."""
    reads = []

    def do_GET(self):
        if self.headers.get("X-Key") is None:
            self.answer(b"ok\n")
            return
        self.reads.append(time.monotonic())
        if len(self.reads) <= 2:
            time.sleep(0.05)
            self.server.crash()
        else:
            super().do_GET()

    def do_POST(self):
        if self.headers["Idempotency-Key"] == "long":
            time.sleep(LONG_S)
        super().do_POST()


class CrashingTarget(Target):
    handler = Handler


def run_test(fleet):
    for n in range(2):
        fleet.send_booking("e0", "read-%d" % n, method="GET")
        assert fleet.log_has("da0", "with 1 requests in flight", 3)
        time.sleep(1.5)
        fleet.send_booking("e0", "again-%d" % n)
    assert len(Handler.reads) == 2, Handler.reads
    replies = {}

    def send(key, method):
        replies[key] = fleet.send_booking("e0", key, method=method, timeout=20)[:2]

    threads = []
    for key, method in (("long", "POST"), ("held", "GET")):
        threads.append(threading.Thread(target=send, args=(key, method)))
        threads[-1].start()
        time.sleep(0.3)
    fleet.operate("dc", "out", "local")
    accepted = time.monotonic()
    for thread in threads:
        thread.join()
    late = [at - accepted for at in Handler.reads if at > accepted + BOUND_S]
    print("replies %s, %d reads, %s later than %d s after dc out"
          % (replies, len(Handler.reads), ["%.1f" % at for at in late], BOUND_S))
    if late or replies["long"][0] != 200 or replies["held"][1] != "not-run":
        print("FAILED: a held request was started after dc out, or refused wrongly")
        return 1
    return 0


Fleet.retry_percent = 0
sys.exit(with_fleet(run_test, make_target=CrashingTarget,
                    names=["c0", "c1", "c2", "e0", "e1", "da0"]))
