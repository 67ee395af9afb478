"""Ends of answers that have neither a length nor chunks, of targets that leave: each
course of close, deregistration and exit that the platform allows, by what the caller
gets.

    relay_end_leaves.py BUILD CHECK..."""
import contextlib
import re
import signal
import socket
import sys
import time

import relay_fleet
from relay_fleet import Target, event_of, run_checks

EVENTS = b"".join(event_of(n) for n in range(1, 7))
BODY = b"b" * 2000
PLAYS = 3  # of each course, on each route
STALL_S = 0.9  # for which a relay stands still: longer than a target lives on
BUSY_S = 1.5  # for which a health check waits for a slot

answer_others = Target.answer_out_of_order
answer_check = Target.answer_check
Target.check_after = 0  # for which a health check waits for a slot


def answer_until_close(self, conn, seal, echo, behavior, start, first):
    kind, _, course = behavior.partition("-")
    if kind not in ("events", "plain"):
        return answer_others(self, conn, seal, echo, behavior, start, first)
    whole, part = ((EVENTS, EVENTS[:len(EVENTS) // 2]) if kind == "events"
                   else (BODY, BODY[:1000]))
    if start > 0 or course == "stays":  # taken up after a cut
        conn.sendall(head_of(seal, kind) + b"".join(
            event_of(n) for n in range(start + 1, 7)))
        return False
    COURSES[course](self, conn, head_of(seal, kind), whole, part)
    self.beats = True
    return False


def head_of(seal, kind):
    return ("HTTP/1.1 200 OK\r\n%s%s\r\n" % (
        seal, "Content-Type: text/event-stream\r\n" if kind == "events" else "")
            ).encode()


def close(conn, *data):
    """Ends an answer in order."""
    for part in data:
        conn.sendall(part)
        time.sleep(0.05)
    conn.shutdown(socket.SHUT_WR)


def stop_beats(target):
    target.beats = False
    time.sleep(0.05)  # one may be on its way


def drain(target):
    target.state = "draining"
    assert target.post("heartbeat")[0] == 200
    stop_beats(target)


def deregister(target, members=None):
    path, text = target.statement()
    answer = target.fleet.control_request("POST", path + "deregister", text,
                                          members)
    assert answer is not None and answer[0] == 200, answer


def leave(target):
    """Ends right behind the answer to its deregistration; another process
    begins later."""
    deregister(target)
    end(target)


def end(target):
    target.state = "ready"
    target.crash()


@contextlib.contextmanager
def stalled_relay(target):
    """The relay stands still until @STALL_S have passed."""
    target.fleet.kill("relay-5", signal.SIGSTOP)
    began = time.time()
    yield
    time.sleep(max(0, began + STALL_S - time.time()))
    target.fleet.kill("relay-5", signal.SIGCONT)


def course_at_once(target, conn, head, whole, part):
    stop_beats(target)
    close(conn, head, whole)
    leave(target)


def course_drained(target, conn, head, whole, part):
    drain(target)
    close(conn, head, whole)
    time.sleep(0.2)
    leave(target)


def course_follower(target, conn, head, whole, part):
    """Calls a member that doesn't lead first."""
    stop_beats(target)
    close(conn, head, whole)
    leader = target.fleet.leader()
    deregister(target, sorted(target.fleet.members, key=lambda n: n == leader))
    end(target)


def course_not_listening(target, conn, head, whole, part):
    """A server that is stopped listens no more and closes what is idle."""
    stop_beats(target)
    target.socket.shutdown(socket.SHUT_RDWR)
    target.socket.close()
    for other in list(target.connections - {conn}):
        other.shutdown(socket.SHUT_RDWR)
    conn.sendall(head)
    time.sleep(0.1)
    close(conn, whole)
    deregister(target)
    target.state = "ready"
    target.socket = target.listen()
    target.crash()


course_busy = course_at_once  # the health check waits for a slot meanwhile


def course_relay_stalls(target, conn, head, whole, part):
    stop_beats(target)
    conn.sendall(head + whole)
    time.sleep(0.1)
    with stalled_relay(target):
        conn.shutdown(socket.SHUT_WR)
        leave(target)


def course_killed_later(target, conn, head, whole, part):
    """Deregisters first, serves on, and is killed between two events."""
    stop_beats(target)
    conn.sendall(head)
    deregister(target)
    conn.sendall(part)
    time.sleep(0.3)
    end(target)


def course_killed_drained(target, conn, head, whole, part):
    drain(target)
    conn.sendall(head + part)
    time.sleep(0.1)
    end(target)


def course_killed_unanswered(target, conn, head, whole, part):
    """Is killed while its deregistration waits for the answer."""
    stop_beats(target)
    conn.sendall(head + part)
    path, text = target.statement()
    with socket.create_connection(
            ("127.0.0.%d" % target.fleet.leader(), target.fleet.port + 1)) as call:
        call.sendall(("POST %sderegister HTTP/1.1\r\nHost: c\r\n"
                      "Content-Length: %d\r\n\r\n%s"
                      % (path, len(text), text)).encode())
        time.sleep(0.1)
        call.shutdown(socket.SHUT_RDWR)
        end(target)


def course_killed_stalled(target, conn, head, whole, part):
    """Deregisters, and is killed while the relay stands still."""
    stop_beats(target)
    conn.sendall(head + part)
    time.sleep(0.1)
    with stalled_relay(target):
        leave(target)


COURSES = {name[len("course_"):]: value for name, value in globals().items()
           if name.startswith("course_")}


def answer_check_late(self, conn, life):
    time.sleep(self.check_after)
    return answer_check(self, conn, life)


Target.answer_out_of_order = answer_until_close
Target.answer_check = answer_check_late


def last_verdict(fleet):
    with open("%s/relay-5.log" % fleet.dir) as log:
        return re.findall(r"verdict=\w+ waited_ms=\d+", log.read())[-1:]


def play(fleet, route, kind, course, n):
    attempt = "%s-%s-%d" % (course, kind, n)
    relay_fleet.wait_for("a target answers", lambda: fleet.call(
        route, kind + "-stays", "%s-%d" % (attempt, time.time_ns()))[0] == 200)
    status, body, _ = fleet.call(route, "%s-%s" % (kind, course), attempt,
                                 body=attempt)
    time.sleep(0.6)
    return status, body


def play_course(fleet, course, whole):
    """All answers of the course are complete, or none that was cut looks so."""
    wrong = []
    for n in range(PLAYS):
        for route, kind, text in (("streaming", "events", EVENTS),
                                  ("unsafe", "plain", BODY)):
            got = play(fleet, route, kind, course, n)
            is_whole = got == (200, text)
            if is_whole < whole or got[0] == 200 and not is_whole:
                wrong.append((kind, got[0], len(got[1]), last_verdict(fleet)))
    assert not wrong, (course, wrong)


def check_whole(fleet):
    """A whole answer whose target leaves behind it is complete."""
    for course in ("at_once", "drained", "follower"):
        play_course(fleet, course, True)


def check_whole_unchecked(fleet):
    """Also where the target can't answer the relay's check, or the relay stands
    still until it has ended."""
    for course in ("not_listening", "relay_stalls"):
        play_course(fleet, course, True)
    for target in fleet.targets:
        target.check_after = BUSY_S
    play_course(fleet, "busy", True)


def check_cut(fleet):
    """An answer that a target cuts as it is killed looks complete nowhere,
    whatever the target has said before."""
    for course in ("killed_later", "killed_drained", "killed_unanswered",
                   "killed_stalled"):
        play_course(fleet, course, False)


def check_announced_end_is_no_crash(fleet):
    """Where nothing shows that an answer is whole, its target's end still isn't
    a crash if the target had deregistered."""
    for n in range(PLAYS):
        play(fleet, "unsafe", "plain", "killed_later", 10 + n)
        assert last_verdict(fleet)[0].startswith("verdict=unproven"), \
            last_verdict(fleet)


if __name__ == "__main__":
    run_checks(sys.argv[1], [globals()[name] for name in sys.argv[2:]])
