"""Callers take streams up while targets of two versions of their software serve, or
of two services: no stream may hold events of both.
usage: relay_taken_up.py BUILD release|services|silent|restarted"""
import http.client
import json
import sys
import time

from relay_fleet import BEHAVIOR_HEADER, KEY, Target, run_checks, wait_for

STREAMS = 40
VERSIONS = ("v1", "v1", "v1.2", "v1.2")


def begin(fleet, attempt, relay, body=None):
    """Begins a stream, and returns its connection after the first event."""
    conn = http.client.HTTPConnection("127.0.0.%d" % relay, fleet.port + 2,
                                      timeout=5)
    conn.request("POST", "/resume/x", body or attempt, {
        "Host": "h.example", "X-Quetzalgate-Attempt-Id": attempt,
        "X-Quetzalgate-Deadline-Ms": "3900", "X-Quetzalgate-Key": KEY,
        BEHAVIOR_HEADER: "trickle"})
    answer = conn.getresponse()
    assert answer.status == 200, answer.status
    while b"\n\n" not in answer.read1(100):
        pass
    return conn


def take_up(fleet, first, relay, is_named):
    """Sends the same request again, and names the attempt before or nothing."""
    more = {"Resumes": first} if is_named else {}
    return fleet.call("resume", "stream", attempt=first + "-again", body=first,
                      relay=relay, headers={"Last-Event-Id": "1", **more})[0]


def is_joined(fleet, first):
    """Whether targets of several versions ran the stream."""
    versions = {t.id: t.version for t in fleet.targets}
    return len({versions[run[0]] for attempt in (first, first + "-again")
                for run in Target.runs.get(attempt, [])}) > 1


def is_joined_from_services(fleet, first):
    return len({run[0].split("-")[0] for attempt in (first, first + "-again")
                for run in Target.runs.get(attempt, [])}) > 1


def take_up_all(fleet, streams, needed, pause_s=0, joined_by=is_joined):
    """@streams: names, connections and relays at which the callers come back,
    every second one without naming the attempt that began its stream."""
    joined = whole = 0
    for i, (name, conn, relay) in enumerate(streams):
        conn.close()
        time.sleep(pause_s)
        whole += take_up(fleet, name, relay, i % 2 == 0) == 200
        joined += joined_by(fleet, name)
    assert joined == 0, "%d of %d joined" % (joined, i + 1)
    assert whole >= needed * (i + 1), "%d of %d go on" % (whole, i + 1)


def begin_each(fleet, what, relays, n=STREAMS):
    """Begins the next stream once the one before has been taken up; @relays: at
    which they begin and go on, in turn."""
    for i in range(n):
        first, second = relays[i % len(relays)]
        name = "%s%d" % (what, i)
        yield name, begin(fleet, name, first), second


def begin_streams_of_one_version(fleet):
    """Makes the version known that all targets have."""
    for relay in fleet.relays:
        begin(fleet, "one-%d" % relay, relay).close()


def serve_two_versions(fleet):
    """Targets of a second version start beside those of the first one."""
    fleet.targets += [Target(fleet, 10 + n, "app", "dc0", version=version)
                      for n, version in enumerate(VERSIONS)]
    time.sleep(1)


def check_streams_of_before_the_release_go_on(fleet):
    """They began when one version served, and are taken up when two do."""
    streams = list(begin_each(fleet, "before", ((5, 5), (6, 5), (5, 6))))
    serve_two_versions(fleet)
    take_up_all(fleet, streams, 0.9)


def check_callers_return_at_once(fleet):
    take_up_all(fleet, begin_each(fleet, "once", ((5, 6), (5, 6), (6, 5))), 0.9)


def check_callers_return_later(fleet):
    take_up_all(fleet, begin_each(fleet, "later", ((5, 6), (6, 5), (5, 5))), 0.9,
                pause_s=0.1)


def check_equal_requests(fleet):
    """Streams of both versions began with the same request: which one a caller
    takes up that names nothing can't be told."""
    conns = [begin(fleet, "equal-%d" % n, 5, body="equal") for n in range(8)]
    for conn in conns:
        conn.close()
    time.sleep(0.1)
    assert take_up(fleet, "equal", 6, is_named=False) == 503
    assert "equal-again" not in Target.runs


def check_silent_connection(fleet):
    """What one relay tells the other is lost on its way."""
    for relay in fleet.relays:
        fleet.proxies[relay].disturb("silent")
    take_up_all(fleet, list(begin_each(fleet, "silent", ((6, 5),), 10)), 0)


def check_relay_is_killed(fleet):
    """It could tell nobody which version began its last streams."""
    for i in range(4):
        streams = list(begin_each(fleet, "killed%d-" % i, ((6, 5),), 5))
        fleet.kill("relay-6")
        take_up_all(fleet, streams, 0)
        fleet.relay(6)
        wait_for("the relay is ready again", lambda: fleet.ready(6))


def check_relay_starts_later(fleet):
    """It hears of streams that began before its start."""
    streams = list(begin_each(fleet, "early", ((6, 5),)))
    fleet.kill("relay-5")
    fleet.relay(5)
    wait_for("the relay is ready again", lambda: fleet.ready(5))
    time.sleep(0.5)
    take_up_all(fleet, streams, 0.9)


def route_to(fleet, *services):
    """Has the route served by services whose versions have the same name."""
    manifest = json.loads(fleet.manifest())
    route = next(r for r in manifest["routes"] if r["name"] == "resume")
    del route["backend"]
    route["traffic_split"] = [{"backend": name, "weight": 50}
                              for name in services]
    manifest["backends"].append(dict(manifest["backends"][0], name="other"))
    fleet.put_manifest(json.dumps(manifest))
    time.sleep(0.5)


def start_other_service(fleet):
    fleet.targets += [Target(fleet, 20 + n, "other", "dc0") for n in range(2)]
    time.sleep(1)


def check_split_route(fleet):
    route_to(fleet, "app", "other")
    take_up_all(fleet, begin_each(fleet, "split", ((5, 6), (5, 5), (6, 5))), 0.9,
                joined_by=is_joined_from_services)


def check_moved_route(fleet):
    """The manifest moves the route between the tries."""
    relays = ((5, 6), (5, 5), (6, 5))
    route_to(fleet, "app")
    streams = list(begin_each(fleet, "moved", relays, 20))
    route_to(fleet, "other")
    take_up_all(fleet, streams, 0, joined_by=is_joined_from_services)
    take_up_all(fleet, begin_each(fleet, "after", relays, 20), 0.9,
                joined_by=is_joined_from_services)


def check_target_restarts_with_another_version(fleet):
    """It keeps its id, and its first heartbeat has not reached control yet."""
    joined = 0
    for i, target in enumerate(fleet.targets):
        versions = {t.id: t.version for t in fleet.targets}
        streams = list(begin_each(fleet, "restarted%d-" % i, ((5, 6), (6, 5)), 20))
        target.beats = False
        target.crash(keep_id=True)
        target.version = "v%d" % (i + 2)
        for name, conn, relay in streams:
            conn.close()
            take_up(fleet, name, relay, is_named=False)
            began = versions[Target.runs[name][0][0]]
            now = {t.id: t.version for t in fleet.targets}
            joined += any(now[run[0]] != began
                          for run in Target.runs.get(name + "-again", []))
        target.beats = True
        time.sleep(1.5)
    assert joined == 0, "%d of %d joined" % (joined, 20 * len(fleet.targets))


CHECKS = {
    "release": [
        begin_streams_of_one_version, check_streams_of_before_the_release_go_on,
        check_callers_return_at_once, check_callers_return_later,
        check_equal_requests, check_relay_is_killed, check_relay_starts_later],
    "services": [start_other_service, check_split_route,
              check_moved_route],
    "restarted": [check_target_restarts_with_another_version],  # by hand
    "silent": [begin_streams_of_one_version, serve_two_versions,
               check_silent_connection]}
if __name__ == "__main__":
    run_checks(sys.argv[1], CHECKS[sys.argv[2]], retry_extra=4000,
               proxied=sys.argv[2] == "silent")
