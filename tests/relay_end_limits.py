"""Ends of answers that have neither a length nor chunks, of targets of models and
of targets that stop at the time limit which they were given."""
import signal
import sys
import time

import relay_fleet
from relay_fleet import Target, event_of, run_checks

BODY = b"b" * 2000
CUT = b"".join(event_of(n) for n in range(1, 4))
RESTART_S = 0.03  # of a target that a supervisor starts again at once
STALL_S = 0.15  # for which a relay stands still
answer_others = Target.answer
answer_badly = Target.answer_out_of_order


def answer(self, conn, fields, body):
    if "X-Quetzalgate-Attempt-Id" in fields:
        self.limit_ms = int(fields["X-Quetzalgate-Deadline-Ms"])
        self.came_at = time.time()
        return answer_others(self, conn, fields, body)
    report = b'{"phase":"unified","model_list":[],"born":%d}' % self.born
    conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                 % (len(report), report))
    return True


def answer_until_close(self, conn, seal, echo, behavior, start, first):
    kind, _, more = behavior.partition("-")
    if kind not in ("stall", "limit"):
        return answer_badly(self, conn, seal, echo, behavior, start, first)
    conn.sendall(("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n"
                  % seal).encode() + CUT)
    if kind == "limit":
        time.sleep(max(0, self.came_at + (self.limit_ms - int(more)) / 1000
                       - time.time()))
        return False
    time.sleep(0.05)
    self.fleet.kill("relay-5", signal.SIGSTOP)
    began = time.time()
    self.crash()
    time.sleep(max(0, began + STALL_S - time.time()))
    self.fleet.kill("relay-5", signal.SIGCONT)
    return False


Target.answer = answer
Target.answer_out_of_order = answer_until_close


def check_stop_at_the_limit(fleet):
    """A target stops work at the time limit that it was given."""
    complete = {}
    for early in (0, 1, 2, 5):
        for n in range(10):
            status, body, _ = fleet.call(
                "streaming", "limit-%d" % early, "l%d-%d" % (early, n),
                body="l%d-%d" % (early, n), timeout_ms=300)
            complete[early] = complete.get(early, 0) + (status == 200)
    assert not any(complete.values()), complete


def check_other_model_at_the_address(fleet):
    """The process that answers /report names no target, and is another one."""
    relay_fleet.CRASH_PAUSE_S = RESTART_S
    text = fleet.manifest(backends=[{
        "name": "app", "health_check": "/healthz", "max_connections": 100,
        "cold_start_s": 0.0, "cold_per_s": 0.0,
        "runtime": {"slots": 48, "kv_capacity": 553911, "kv_bytes": 1000,
                    "chunk_size": 4, "model_list": [{"name": "m"}]}}])
    fleet.put_manifest(text)
    time.sleep(1)
    headers = {"X-Quetzalgate-Model-Id": "m",
               "X-Quetzalgate-Token-Count": "10,10",
               "X-Quetzalgate-Prefix-Hash": "1:10"}
    for n in range(5):
        headers["X-Quetzalgate-Prefix-Hash"] = "%x:10" % (n + 1)
        status, body, _ = fleet.call("streaming", "stall", "s%d" % n,
                                     body="s%d" % n, headers=headers)
        with open("%s/relay-5.log" % fleet.dir) as log:
            ends = [line for line in log if "END_CHECKED" in line]
        assert status == 0 and body, (n, status, body, ends[-1:])
        time.sleep(0.6)


run_checks(sys.argv[1], [check_stop_at_the_limit] if "limit" in sys.argv else
           [check_other_model_at_the_address])
