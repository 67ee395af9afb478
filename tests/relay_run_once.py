"""Requests whose type forbids repeats, on routes with options that concern
streams: no option lets a request run twice."""
import json
import sys

from relay_fleet import Target, run_checks, wait_for


def set_routes(fleet):
    whole = json.loads(fleet.manifest())
    routes = whole["routes"]
    for kind in ("safe", "unsafe", "streaming"):
        route = dict(next(r for r in routes if r["name"] == kind))
        route.update(name=kind + "-resume", path_prefix="/%s-resume/" % kind,
                     stream_resume=True)
        routes.append(route)
    fleet.put_manifest(json.dumps(whole))
    wait_for("the routes are in force",
             lambda: fleet.call("safe-resume")[0] == 200)


def runs(attempt):
    return len(Target.runs.get(attempt, []))


def check_lost_answer(fleet):
    """The answer of a request that has run is lost, before its head."""
    set_routes(fleet)
    for i in range(20):
        attempt = "lost-%d" % i
        status = fleet.call("unsafe-resume", "reset-once", attempt)[0]
        assert runs(attempt) == 1, (attempt, runs(attempt), status)
        assert status == 502, (attempt, status)
    for kind in ("safe-resume", "streaming-resume"):
        attempt = "lost-" + kind
        fleet.call(kind, "reset-once", attempt)
        assert runs(attempt) == 2, (kind, runs(attempt))


def check_broken_stream(fleet):
    """An answer that is an event stream goes on after the event at which it
    broke off, whatever the type of the route; one that isn't does not."""
    set_routes(fleet)
    for i in range(5):
        attempt = "body-%d" % i
        status = fleet.call("unsafe-resume", "reset-body", attempt)[0]
        assert (status, runs(attempt)) == (0, 1), (attempt, status)
    for kind in ("safe-resume", "unsafe-resume", "streaming-resume"):
        attempt = "stream-" + kind
        status = fleet.call(kind, "break", attempt)[0]
        assert (status, runs(attempt)) == (200, 2), (kind, status)


run_checks(sys.argv[1], [check_lost_answer, check_broken_stream])
