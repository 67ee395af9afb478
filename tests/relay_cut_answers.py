"""Answers through the relay that have neither a length nor chunks, and whose target
ends before it has sent the whole: its connections close in order, between two
events. No caller gets such an answer as complete. The answer of a target that
closes its connection and lives on is complete, without a noticeable wait."""
import http.client
import signal
import statistics
import sys
import threading
import time

from relay_fleet import BEHAVIOR_HEADER, KEY, Target, event_of, run_checks

EVENTS = b"".join(event_of(n) for n in range(1, 7))
BODY = b"b" * 2000
NEARLY_S = 0.2  # by which an answer without a length may end later than another
GIVE_UP_S = 2  # bound for the end of an answer whose target says nothing


def send(conn, seal, is_stream, body, framing=""):
    conn.sendall(("HTTP/1.1 200 OK\r\n%s%s%s\r\n" % (
        seal, "Content-Type: text/event-stream\r\n" if is_stream else "",
        framing)).encode() + body)
    time.sleep(0.05)


def answer_until_close(self, conn, seal, echo, behavior, start, first):
    kind, _, end = behavior.partition("-")
    if kind not in ("events", "plain"):
        return answer_others(self, conn, seal, echo, behavior, start, first)
    is_stream = kind == "events"
    cut = first and end not in ("whole", "length")
    if is_stream:
        body = b"".join(event_of(n) for n in range(start + 1, 4 if cut else 7))
    else:
        body = BODY[:1000] if cut else BODY
    send(conn, seal, is_stream, body,
         "Content-Length: %d\r\n" % len(body) if end == "length" else "")
    if cut and end == "crash":
        self.crash()
    elif cut and end == "again":  # returns at once under its id
        self.crash(keep_id=True)
    elif cut and end == "paused":
        pause_relay(self)
    elif cut and end == "mute":
        self.mute = True
    return end == "length"


def pause_relay(target):
    """The relay stands still while the target ends and returns."""
    target.fleet.kill("relay-5", signal.SIGSTOP)
    time.sleep(0.1)
    target.crash(keep_id=True)
    target.fleet.kill("relay-5", signal.SIGCONT)


answer_others = Target.answer_out_of_order
Target.answer_out_of_order = answer_until_close
Target.mute = False  # accepts connections and answers no health check


def answer_check_unless_mute(self, conn, life):
    if self.mute:
        time.sleep(GIVE_UP_S)
        return False
    return answer_check(self, conn, life)


answer_check = Target.answer_check
Target.answer_check = answer_check_unless_mute


def play(fleet, route, behavior, n, **options):
    """(status, body, seconds, runs)"""
    attempt = "%s-%s-%d" % (route, behavior, n)
    began = time.time()
    status, body, _ = fleet.call(route, behavior, attempt, body=attempt,
                                 **options)
    return status, body, time.time() - began, len(Target.runs.get(attempt, ()))


def check_streams_cut_between_events(fleet):
    for n in range(3):
        for end in ("crash", "again"):
            got = play(fleet, "streaming", "events-" + end, n)
            assert got[0] == 0 and EVENTS.startswith(got[1]), got
            time.sleep(0.5)


def check_streams_that_go_on(fleet):
    for n in range(3):
        got = play(fleet, "resume", "events-crash", n)
        assert got[:2] == (200, EVENTS) and got[3] == 2, got
        time.sleep(0.5)


def check_plain_answers(fleet):
    for route in ("safe", "unsafe"):
        for n in range(3):
            got = play(fleet, route, "plain-crash", n)
            assert got[0] == 0 and len(got[1]) < len(BODY), (route, got)
            assert got[3] == 1, got
            time.sleep(0.5)


def check_relay_stood_still(fleet):
    """The relay sees the end late, when another process has the address."""
    for route, behavior in (("streaming", "events-paused"),
                            ("unsafe", "plain-paused")):
        got = play(fleet, route, behavior, 0)
        assert got[0] == 0, (route, got)
        time.sleep(0.5)


def check_target_says_nothing(fleet):
    """Whether the answer is whole is not known: it does not look complete."""
    got = play(fleet, "unsafe", "plain-mute", 0)
    for target in fleet.targets:
        target.mute = False
    assert got[0] == 0 and got[2] < GIVE_UP_S, got


def check_caller_leaves_meanwhile(fleet):
    """A caller that leaves, or whose time is over, while the end of its answer is
    checked."""
    for relay in (5, 6):
        for route, behavior, body in (("unsafe", "plain-mute", BODY[:1000]),
                                      ("safe", "plain-whole", BODY),
                                      ("streaming", "events-whole", EVENTS)):
            attempt = "leaves-%d-%s" % (relay, route)
            conn = http.client.HTTPConnection("127.0.0.%d" % relay,
                                              fleet.port + 2, timeout=5)
            conn.request("POST", "/%s/x" % route, attempt, {
                "Host": "h.example", "X-Quetzalgate-Attempt-Id": attempt,
                "X-Quetzalgate-Key": KEY, BEHAVIOR_HEADER: behavior})
            got = b""
            answer = conn.getresponse()
            while len(got) < len(body):
                got += answer.read1(65536)
            conn.close()
            time.sleep(0.1)
        got = play(fleet, "unsafe", "plain-mute", relay, relay=relay,
                   timeout_ms=300)
        assert got[0] == 0, got
        for target in fleet.targets:
            target.mute = False
        process = fleet.processes["relay-%d" % relay]
        assert process.poll() is None, process.returncode


def check_sound_targets(fleet):
    """Whole answers end at once, also many at a time."""
    results, lock = [], threading.Lock()

    def caller(number):
        for n in range(6):
            route = ("streaming", "resume", "safe", "unsafe")[number % 4]
            kind = "events" if number % 4 < 2 else "plain"
            end = ("whole", "length")[n % 2]
            got = play(fleet, route, kind + "-" + end, 100 * number + n,
                       relay=5 + number % 2)
            with lock:
                results.append((kind, end, got))

    threads = [threading.Thread(target=caller, args=(n,)) for n in range(12)]
    checks = len(Target.checks)
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    times = {"whole": [], "length": []}
    for kind, end, got in results:
        whole = EVENTS if kind == "events" else BODY
        assert got[:2] == (200, whole) and got[3] == 1, (kind, end, got)
        times[end].append(got[2])
    later = statistics.median(times["whole"]) - statistics.median(
        times["length"])
    assert later < NEARLY_S, later
    assert len(Target.checks) - checks <= len(times["whole"])


run_checks(sys.argv[1], [check_sound_targets, check_streams_cut_between_events,
                         check_streams_that_go_on, check_plain_answers,
                         check_relay_stood_still, check_target_says_nothing,
                         check_caller_leaves_meanwhile])
