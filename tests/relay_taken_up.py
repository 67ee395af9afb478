"""Callers take streams up at once, while targets of two versions of their software
serve: no stream may hold events of both. usage: relay_taken_up.py BUILD"""
import http.client
import sys
import time

from relay_fleet import BEHAVIOR_HEADER, KEY, Target, run_checks, wait_for

STREAMS = 40
VERSIONS = ("v1", "v1", "v1.2", "v1.2")


def begin(fleet, attempt, relay):
    """Begins a stream, and returns its connection after the first event."""
    conn = http.client.HTTPConnection("127.0.0.%d" % relay, fleet.port + 2,
                                      timeout=5)
    conn.request("POST", "/resume/x", "x", {
        "Host": "h.example", "X-Quetzalgate-Attempt-Id": attempt,
        "X-Quetzalgate-Deadline-Ms": "3900", "X-Quetzalgate-Key": KEY,
        BEHAVIOR_HEADER: "trickle"})
    answer = conn.getresponse()
    assert answer.status == 200, answer.status
    while b"\n\n" not in answer.read1(100):
        pass
    return conn


def take_up(fleet, attempt, first, relay):
    status, _, _ = fleet.call("resume", "stream", attempt=attempt, relay=relay,
                              headers={"Last-Event-Id": "1", "Resumes": first})
    return status == 200


def is_joined(fleet, *attempts):
    """Whether targets of several versions ran these attempts."""
    versions = {t.id: t.version for t in fleet.targets}
    return len({versions[run[0]] for attempt in attempts
                for run in Target.runs.get(attempt, [])}) > 1


def take_up_streams(fleet, name, relays, n=STREAMS):
    """Each stream begins at the first relay and goes on at the second one;
    numbers of those that joined versions, and that went on."""
    joined = whole = 0
    for i in range(n):
        first, second = "%s%d" % (name, i), "%s%d-again" % (name, i)
        conn = begin(fleet, first, relays[i % 2])
        conn.close()
        whole += take_up(fleet, second, first, relays[1 - i % 2])
        joined += is_joined(fleet, first, second)
    return joined, whole


def begin_streams_of_one_version(fleet):
    """Makes the version known that all targets have."""
    for relay in fleet.relays:
        begin(fleet, "one-%d" % relay, relay).close()


def serve_two_versions(fleet):
    """Targets of a second version start beside those of the first one."""
    fresh = [Target(fleet, 10 + n, "app", "dc0") for n in range(4)]
    for target, version in zip(fresh, VERSIONS):
        target.version = version
    fleet.targets += fresh
    time.sleep(1)


def check_streams_of_before_the_release_go_on(fleet):
    """They began when one version served, and are taken up when two do."""
    names = ["before%d" % i for i in range(STREAMS)]
    conns = [begin(fleet, name, fleet.relays[i % 2])
             for i, name in enumerate(names)]
    serve_two_versions(fleet)
    joined = whole = 0
    for i, (name, conn) in enumerate(zip(names, conns)):
        conn.close()
        whole += take_up(fleet, name + "-again", name,
                         fleet.relays[i // 2 % 2])
        joined += is_joined(fleet, name, name + "-again")
    assert joined == 0, "%d of %d joined" % (joined, STREAMS)
    assert whole >= 0.9 * STREAMS, whole


def check_callers_return_at_once(fleet):
    joined, whole = take_up_streams(fleet, "once", fleet.relays)
    assert joined == 0, "%d of %d joined" % (joined, STREAMS)
    assert whole >= 0.9 * STREAMS, whole


def check_relay_is_killed(fleet):
    """It could tell nobody which version began its last streams."""
    joined = 0
    for i in range(4):
        names = ["killed%d-%d" % (i, n) for n in range(5)]
        conns = [begin(fleet, name, 6) for name in names]
        fleet.kill("relay-6")
        for name, conn in zip(names, conns):
            conn.close()
            take_up(fleet, name + "-again", name, 5)
            joined += is_joined(fleet, name, name + "-again")
        fleet.relay(6)
        wait_for("the relay is ready again", lambda: fleet.ready(6))
    assert joined == 0, "%d of 20 joined" % joined


def check_relay_starts_later(fleet):
    """It hears of streams that began before its start."""
    joined = whole = 0
    names = ["early%d" % i for i in range(STREAMS)]
    conns = [begin(fleet, name, 6) for name in names]
    fleet.kill("relay-5")
    fleet.relay(5)
    wait_for("the relay is ready again", lambda: fleet.ready(5))
    time.sleep(0.5)
    for name, conn in zip(names, conns):
        conn.close()
        whole += take_up(fleet, name + "-again", name, 5)
        joined += is_joined(fleet, name, name + "-again")
    assert joined == 0, "%d of %d joined" % (joined, STREAMS)
    assert whole >= 0.9 * STREAMS, whole


def check_silent_connection(fleet):
    """What one relay tells the other is lost on its way."""
    for relay in fleet.relays:
        fleet.proxies[relay].disturb("silent")
    joined = 0
    for i in range(10):
        name = "silent%d" % i
        begin(fleet, name, 6).close()
        take_up(fleet, name + "-again", name, 5)
        joined += is_joined(fleet, name, name + "-again")
    assert joined == 0, "%d of 10 joined" % joined


if __name__ == "__main__":
    run_checks(sys.argv[1], [
        begin_streams_of_one_version,
        check_streams_of_before_the_release_go_on, check_callers_return_at_once,
        check_silent_connection, check_relay_is_killed,
        check_relay_starts_later], proxied=True, retry_extra=4000)
