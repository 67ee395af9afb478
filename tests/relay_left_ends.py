"""Answers that end with their connection, while the relay asks whether their target
lived on: the caller leaves, or the target's next life is reported under the same id.
The relay lives on."""
import socket
import sys
import time

from relay_fleet import BEHAVIOR_HEADER, KEY, Target, run_checks

BODY = b"b" * 1000
ASKED_S = 1.2  # from the close of an answer: nothing is asked any more


def answer_until_close(self, conn, seal, echo, behavior, start, first):
    if not behavior.startswith("mute"):
        return answer_others(self, conn, seal, echo, behavior, start, first)
    self.mute = True
    conn.sendall(("HTTP/1.1 200 OK\r\n%s\r\n" % seal).encode() + BODY)
    time.sleep(0.05)
    if behavior == "mute-reborn":
        self.born, self.sequence = time.time_ns() // 10**6, 0
    return False


def answer_check_unless_mute(self, conn, life):
    if self.mute:
        time.sleep(ASKED_S)
        return False
    return answer_check(self, conn, life)


answer_others = Target.answer_out_of_order
Target.answer_out_of_order = answer_until_close
answer_check = Target.answer_check
Target.answer_check = answer_check_unless_mute
Target.mute = False  # answers no health check


def recover(fleet):
    for target in fleet.targets:
        target.mute = False
    assert fleet.processes["relay-5"].poll() is None
    assert fleet.call("safe", attempt="after")[0] == 200


def check_caller_leaves(fleet):
    for n in range(3):
        with socket.create_connection(("127.0.0.5", fleet.port + 2)) as conn:
            conn.sendall(("POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\n"
                          "X-Quetzalgate-Attempt-Id: leaves-%d\r\n"
                          "X-Quetzalgate-Key: %s\r\n%s: mute\r\n"
                          "X-Quetzalgate-Deadline-Ms: 3000\r\n"
                          "Content-Length: 1\r\n\r\n%d"
                          % (n, KEY, BEHAVIOR_HEADER, n)).encode())
            answer = b""
            while BODY not in answer.replace(b"\r\n", b""):
                answer += conn.recv(65536)
            time.sleep(0.2)
        time.sleep(0.1)
        recover(fleet)
        time.sleep(ASKED_S)


def check_target_returns_under_its_id(fleet):
    for n in range(3):
        status, _, _ = fleet.call("unsafe", "mute-reborn", "reborn-%d" % n,
                                  body="reborn-%d" % n)
        assert status == 0, status
        recover(fleet)


run_checks(sys.argv[1], [check_caller_leaves, check_target_returns_under_its_id])
