"""A whole answer without a length is broken off, beside a SIGHUP of the machine that
took the request, if its runner leaves and ends right behind the answer."""
import os
import signal
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import rig

ROUNDS = 6
RUNNERS = 3  # one at a time is replaced
EVENTS, EVENT_S = 18, 0.2
SERVE_S = rig.BOUNDS["drain_timeout_ms"] / 1000 + 0.3  # after the confirmation


def stream(runner, conn, fields, body):
    """Sends all events and closes the channel in order, which ends the answer."""
    attempt = fields["x-quetzalgate-attempt-id"]
    conn.sendall(("HTTP/1.1 200 OK\r\nX-Quetzalgate-Attempt-Id: %s\r\n"
                  "X-Quetzalgate-Response-Seal: s.%s\r\n"
                  "Content-Type: text/event-stream\r\n\r\n"
                  % (attempt, runner.id)).encode())
    for i in range(1, EVENTS + 1):
        conn.sendall(b"id: %d\ndata: %s %d\n\n" % (i, attempt.encode(), i))
        time.sleep(EVENT_S)
    runner.fleet.record("runner %s has sent the whole answer to %s", runner.id,
                        attempt)
    conn.shutdown(socket.SHUT_WR)
    runner.done.set()
    return False


def leave(runner):
    """A planned stop: says that it drains, serves on, deregisters and exits."""
    runner.state = "draining"
    if runner.heartbeat() is None:
        raise rig.CannotRun("a leaving runner gets no confirmation")
    runner.fleet.record("runner %s is draining, as confirmed", runner.id)
    time.sleep(SERVE_S)
    runner.done.wait(10)
    runner.stopped.set()
    runner.fleet.control_call("POST", "/instances/%s/deregister" % runner.id,
                              "{\"born\":%d}" % runner.born)
    runner.socket.shutdown(socket.SHUT_RDWR)
    runner.socket.close()
    for conn in list(runner.channels):
        try:
            conn.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
    runner.fleet.record("runner %s exits", runner.id)


def new_runner(fleet, number):
    runner = rig.Runner(fleet, "wordsmith", fleet.zones[number % 3], stream,
                        beats=False)
    runner.done = threading.Event()
    threading.Thread(target=runner.beat, daemon=True).start()
    return runner


def case(fleet, trouble):
    fleet.start()
    routes = [rig.route("copy", "/copy/", "wordsmith", "streaming",
                        timeout_ms=15000)]
    fleet.order("POST", "/configuration/replace",
                fleet.desired_state(routes, [rig.service("wordsmith")]))
    runners, broken = [new_runner(fleet, i) for i in range(RUNNERS)], []
    for n in fleet.machines:
        fleet.wait("machine %d is ready" % n, lambda: fleet.ready(n))
    time.sleep(4)
    for i in range(ROUNDS):
        machine, attempt = 1 + i % 3, "copy-%d" % i
        result = []
        if trouble:
            fleet.processes["relay-%d" % machine].send(signal.SIGHUP)
            time.sleep(0.2)
        asking = threading.Thread(target=lambda: result.append(fleet.request(
            machine, "/copy/x", attempt, limit=15.0)))
        asking.start()
        fleet.wait("%s runs" % attempt, lambda: any(
            run == attempt for r in runners for run, _ in r.runs), 5)
        runner = next(r for r in runners
                      if any(run == attempt for run, _ in r.runs))
        if trouble:  # a release: the new one starts first, the old one drains
            runners.append(new_runner(fleet, i))
            time.sleep(0.3)
            leave(runner)
            runners.remove(runner)
        asking.join()
        status, text, _ = result[0]
        ended = runner.done.is_set()
        if ended and (status != 200 or b"id: %d\n" % EVENTS not in text):
            broken.append("LOST: %s ends without a complete answer, though its "
                          "runner sent all of it" % attempt)
        runner.done.clear()
        time.sleep(1.5)
    return broken


sys.exit(rig.main(HERE, case))
