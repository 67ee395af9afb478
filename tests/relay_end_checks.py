"""What a target may answer to the check of its end, and what remains of checks:
no answer of a sound target is broken off, no connection stays, the relay lives on."""
import os
import socket
import sys
import threading
import time

import relay_fleet
from relay_fleet import Target, event_of, run_checks

BODY = b"b" * 2000
ANSWERS = {
    "unauthorized": b"HTTP/1.1 401 No\r\nContent-Length: 0\r\n\r\n",
    "missing": b"HTTP/1.1 404 No\r\nContent-Length: 3\r\n\r\nno.",
    "full": b"HTTP/1.1 503 No\r\nX-Quetzalgate-Not-Executed: 1\r\n"
            b"Content-Length: 0\r\n\r\n",
    "close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhealthy",
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n" * 3
               + b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    "long": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n" + b"x" * 3000000,
    "copies": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" * 3,
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
               b"2\r\nok\r\n0\r\n\r\n",
}
UNUSABLE = {
    "garbage": b"\x00\x01garbage\r\n\r\n",
    "nothing": b"",
    "half": b"HTTP/1.1 200 O",
    "huge-head": b"HTTP/1.1 200 OK\r\n" + b"X-A: aaaaaaaaaaa\r\n" * 20000,
}
Target.check_answer = None
answer_others = Target.answer_out_of_order
answer_check = Target.answer_check


def answer_until_close(self, conn, seal, echo, behavior, start, first):
    if behavior != "whole":
        return answer_others(self, conn, seal, echo, behavior, start, first)
    conn.sendall(("HTTP/1.1 200 OK\r\n%s\r\n" % seal).encode() + BODY)
    time.sleep(0.02)
    return False


def answer_check_with(self, conn, life):
    text = Target.check_answer
    if text is None:
        return answer_check(self, conn, life)
    with Target.lock:
        Target.checks.append((self.id, time.time()))
    conn.sendall(text)
    if text.endswith(b"\r\n\r\nx"):
        time.sleep(2)
    return False


Target.answer_out_of_order = answer_until_close
Target.answer_check = answer_check_with


def play(fleet, name, **options):
    began = time.time()
    status, body, _ = fleet.call("unsafe", "whole", name, body=name, **options)
    return status, body == BODY, time.time() - began


def check_answers(fleet):
    failed = []
    for name, answer in ANSWERS.items():
        Target.check_answer = answer
        got = play(fleet, name)
        if got[:2] != (200, True):
            failed.append((name, got))
    for name, answer in UNUSABLE.items():
        Target.check_answer = answer
        n = len(Target.checks)
        got = play(fleet, name)
        if got[0] != 0 or got[2] > 1.5 or len(Target.checks) - n > 20:
            failed.append((name, got))
    Target.check_answer = None
    assert fleet.processes["relay-5"].poll() is None
    assert not failed, failed


def check_gateway(fleet):
    """The check is answered by a gateway in front of a target that has ended; it
    names no target."""
    complete = []
    for status in (502, 504):
        Target.check_answer = (b"HTTP/1.1 %d Bad\r\nContent-Length: 0\r\n\r\n"
                               % status)
        if play(fleet, "gateway%d" % status)[0] != 0:
            complete.append(status)
    Target.check_answer = None
    assert not complete, complete


def check_head_is_enough(fleet):
    """The head of the answer names the target; its body comes late."""
    Target.check_answer = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"
    got = play(fleet, "head")
    Target.check_answer = None
    assert got[:2] == (200, True), got


def open_files(fleet):
    return len(os.listdir("/proc/%d/fd" % fleet.processes["relay-5"].pid))


def check_many_targets(fleet):
    """Connections of checks are closed once they are idle."""
    before = open_files(fleet)
    results = []

    def caller(number):
        for n in range(30):
            results.append(play(fleet, "m%d-%d" % (number, n)))

    threads = [threading.Thread(target=caller, args=(n,)) for n in range(30)]
    n = len(Target.checks)
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print("  ", len(results), "answers", len(Target.checks) - n, "checks, slowest",
          max(got[2] for got in results), "open files", before, open_files(fleet))
    bad = [got for got in results if got[:2] != (200, True)]
    assert not bad, bad
    time.sleep(3)
    assert open_files(fleet) <= before + 3, (before, open_files(fleet))


def check_many_answers_without_kept_checks(fleet):
    """A target closes the connection behind each check, while it ends other
    answers."""
    Target.check_answer = ANSWERS["close"]
    results = []

    def caller(number):
        for n in range(10):
            results.append(play(fleet, "c%d-%d" % (number, n)))

    threads = [threading.Thread(target=caller, args=(n,)) for n in range(60)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    Target.check_answer = None
    bad = [got for got in results if got[:2] != (200, True)]
    assert not bad, (len(bad), len(results), bad[:3])


CHECKS = [check_answers, check_many_targets,
          check_many_answers_without_kept_checks, check_gateway,
          check_head_is_enough]
run_checks(sys.argv[1], [check for check in CHECKS
                         if not sys.argv[2:] or check.__name__ in sys.argv[2:]],
           n_targets=20)
