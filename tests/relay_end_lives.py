"""What the evidence at the end of an answer without a length is worth: targets
that end while their check is taken and not answered, and sound targets whose
connections were read late before.
usage: relay_end_lives.py BUILD [CHECK...]"""
import re
import socket
import sys
import threading
import time

from relay_fleet import Target, run_checks

CUT = b"c" * 1000
WHOLE = b"w" * 2000
LONG = 300 * 1024
SLOW_END_S = 1.4  # from the first connection that an ending target closes to the last
IDLE_S = 0.4  # after which a target closes a connection without a request


answer_others = Target.answer_out_of_order
serve = Target.serve
Target.one_at_a_time = False  # others stay in the queue of the listening socket
Target.closes_idle = False
Target.mute = False  # health checks are read and not answered


def head_of(seal):
    return ("HTTP/1.1 200 OK\r\n%s\r\n" % seal).encode()


def answer_until_close(self, conn, seal, echo, behavior, start, first):
    if behavior == "queued":
        conn.sendall(head_of(seal) + CUT)
        time.sleep(0.2)
        conn.shutdown(socket.SHUT_RDWR)  # killed; a supervisor keeps the socket
        time.sleep(SLOW_END_S)
        self.lives += 1
        self.id = "%s-life%d" % (self.id.split("-life")[0], self.lives)
        self.born, self.sequence = time.time_ns() // 10**6, 0
        return False
    if behavior == "slow-end":
        self.mute = True
        conn.sendall(head_of(seal) + CUT)
        time.sleep(0.1)
        conn.shutdown(socket.SHUT_RDWR)
        time.sleep(SLOW_END_S)
        self.crash()
        self.mute = False
        return False
    if behavior == "plain":
        conn.sendall(head_of(seal) + WHOLE)
        time.sleep(0.05)
        return False
    if behavior == "long-plain":
        conn.sendall(head_of(seal))
        for _ in range(12):
            conn.sendall(b"l" * (LONG // 12))
            time.sleep(0.1)
        return False
    if behavior == "burst-plain":
        conn.sendall(head_of(seal) + b"l" * LONG)
        time.sleep(IDLE_S + 1.2)
        conn.sendall(WHOLE)
        return False
    return answer_others(self, conn, seal, echo, behavior, start, first)


Target.answer_out_of_order = answer_until_close


def accept_in_turn(self):
    while not self.stopped.is_set():
        try:
            conn, _ = self.socket.accept()
        except OSError:
            self.stopped.wait(0.02)
            continue
        self.connections.add(conn)
        thread = threading.Thread(target=self.serve, args=(conn,), daemon=True)
        thread.start()
        while self.one_at_a_time and thread.is_alive():
            thread.join(0.01)


Target.accept_connections = accept_in_turn


def serve_until_idle(self, conn):
    if self.closes_idle:
        conn.settimeout(IDLE_S)
    return serve(self, conn)


Target.serve = serve_until_idle
answer_check = Target.answer_check


def answer_check_unless_mute(self, conn, life):
    end = time.time() + 3
    while self.mute and time.time() < end:
        time.sleep(0.01)
        if life != self.lives:
            return False
    return answer_check(self, conn, life)


Target.answer_check = answer_check_unless_mute


def verdicts(fleet, attempt):
    with open("%s/relay-5.log" % fleet.dir) as log:
        return re.findall(r"id=%s target=\S+ (verdict=[^\"\n]*)" % attempt,
                          log.read())


def play(fleet, behavior, n, timeout_ms=6000, **options):
    attempt = "%s-%d" % (behavior, n)
    began = time.time()
    status, body, _ = fleet.call("unsafe", behavior, attempt, body=attempt,
                                 timeout_ms=timeout_ms, **options)
    got = (status, len(body), round(time.time() - began, 2),
           verdicts(fleet, attempt))
    print("  ", attempt, got, flush=True)
    return got


def learn_framing(fleet):
    play(fleet, "plain", time.time_ns() % 10**9)


def check_target_ends_with_check_in_its_queue(fleet):
    """The target accepts no connection while it answers, and is killed; its
    supervisor keeps the listening socket, and so the check's connection."""
    learn_framing(fleet)
    for target in fleet.targets:
        target.one_at_a_time = True
    try:
        got = [play(fleet, "queued", n) for n in range(2)]
    finally:
        for target in fleet.targets:
            target.one_at_a_time = False
    assert all(one[0] != 200 for one in got), got


def check_target_ends_slowly(fleet):
    """The target ends by itself and takes longer than 1 s to do so."""
    learn_framing(fleet)
    got = [play(fleet, "slow-end", n) for n in range(2)]
    time.sleep(1)
    assert all(one[0] != 200 for one in got), got


def check_sound_answer_after_a_long_one(fleet):
    """A connection is used again on which a long answer was read in full."""
    got = []
    for n in range(12):
        fleet.call("unsafe", "long-%d" % LONG, "before-%d" % n,
                   body="before-%d" % n)
        time.sleep(0.2)
        got.append(play(fleet, "plain", n))
    assert all(one[:2] == (200, len(WHOLE)) for one in got), got


def check_long_answer_of_a_target_that_closes_idle_connections(fleet):
    """The connection for the check is opened anew after the first full read."""
    for target in fleet.targets:
        target.closes_idle = True
    try:
        got = [play(fleet, "burst-plain", n) for n in range(3)]
    finally:
        for target in fleet.targets:
            target.closes_idle = False
    assert all(one[:2] == (200, LONG + len(WHOLE)) for one in got), got


CHECKS = [check_target_ends_with_check_in_its_queue, check_target_ends_slowly,
          check_sound_answer_after_a_long_one,
          check_long_answer_of_a_target_that_closes_idle_connections]
wanted = sys.argv[2:]
run_checks(sys.argv[1], [check for check in CHECKS
                         if not wanted or check.__name__ in wanted])
