"""Targets of two versions of their software serve side by side: a stream goes on
only at the version that began it, within one answer and over the tries of its
caller, at any relay."""
import http.client
import sys
import time

from relay_fleet import BEHAVIOR_HEADER, KEY, Target, run_checks, wait_for

STREAMS = 40
VERSIONS = ("v1", "v1", "v1.2", "v1.2")


def version_of(fleet, target_id):
    return next(t.version for t in fleet.targets if t.id == target_id)


def versions_of_runs(fleet, attempt):
    return [version_of(fleet, run[0]) for run in Target.runs.get(attempt, [])]


def serve_two_versions(fleet):
    for n in range(len(fleet.targets)):
        fleet.targets[n].stop()
    fleet.targets = [Target(fleet, 10 + n, "app", "dc0")
                     for n in range(len(VERSIONS))]
    for target, version in zip(fleet.targets, VERSIONS):
        target.version = version
    time.sleep(2.5)  # the former targets are gone


def begin(fleet, attempt, relay=5, behavior="trickle", events=3):
    """Begins a stream, and leaves after some events."""
    conn = http.client.HTTPConnection("127.0.0.%d" % relay, fleet.port + 2,
                                      timeout=5)
    conn.request("POST", "/resume/x", "x", {
        "Host": "h.example", "X-Quetzalgate-Attempt-Id": attempt,
        "X-Quetzalgate-Deadline-Ms": "3900", "X-Quetzalgate-Key": KEY,
        BEHAVIOR_HEADER: behavior})
    answer = conn.getresponse()
    assert answer.status == 200, answer.status
    text = b""
    while text.count(b"\n\n") < events:
        text += answer.read1(100)
    conn.sock.close()
    conn.close()


def take_up(fleet, attempt, first, relay, after=3):
    return fleet.call("resume", "stream", attempt=attempt, relay=relay,
                      headers={"Last-Event-Id": str(after), "Resumes": first})


def check_within_an_answer(fleet):
    joined, whole = 0, 0
    for i in range(STREAMS):
        attempt = "one%d" % i
        status, body, _ = fleet.call("resume", "break", attempt=attempt,
                                     relay=5 + i % 2)
        versions = versions_of_runs(fleet, attempt)
        joined += len(set(versions)) > 1
        whole += status == 200 and body.count(b"data:") == 6
    assert joined == 0, "%d of %d streams changed the version" % (joined,
                                                                  STREAMS)
    assert whole >= 0.9 * STREAMS, whole


def check_over_tries(fleet):
    """Callers take streams up at the relay that they had, and at the other."""
    joined, whole = 0, 0
    for i in range(STREAMS):
        first, second = "try%d" % i, "again%d" % i
        begin(fleet, first, 5 + i % 2)
        time.sleep(0.05)
        status, body, _ = take_up(fleet, second, first, 5 + i // 2 % 2)
        versions = (versions_of_runs(fleet, first)
                    + versions_of_runs(fleet, second))
        joined += len(set(versions)) > 1
        whole += status == 200 and body.count(b"data:") == 3
    assert joined == 0, "%d of %d streams changed the version" % (joined,
                                                                  STREAMS)
    assert whole >= 0.9 * STREAMS, whole


def check_over_three_tries(fleet):
    """The second try breaks off, too; the third names the first."""
    for i in range(10):
        begin(fleet, "a%d" % i, 5)
        time.sleep(0.05)
        status, _, _ = take_up(fleet, "b%d" % i, "a%d" % i, 6)
        assert status == 200, status
        time.sleep(0.05)
        status, _, _ = take_up(fleet, "c%d" % i, "a%d" % i, 5, after=4)
        assert status == 200, status
        versions = sum((versions_of_runs(fleet, "%s%d" % (name, i))
                        for name in "abc"), [])
        assert len(versions) == 3 and len(set(versions)) == 1, versions


def check_unknown_streams(fleet):
    """A stream of which no relay knows the version does not go on: it is
    refused at once, unrun."""
    for i, headers in enumerate(({}, {"Resumes": "never-seen"})):
        began = time.time()
        headers["Last-Event-Id"] = "3"
        status, body, _ = fleet.call("resume", "stream", headers=headers,
                                     attempt="unknown%d" % i)
        assert status == 503 and b"version" in body, (status, body)
        assert time.time() - began < 0.3
        assert versions_of_runs(fleet, "unknown%d" % i) == []


def check_restarted_relay(fleet):
    """A relay that has restarted knows nothing of the streams before."""
    for i in range(10):
        begin(fleet, "before%d" % i, 6)
    time.sleep(0.1)
    fleet.kill("relay-6")
    joined = kept = 0
    for i in range(5):
        status, _, _ = take_up(fleet, "other%d" % i, "before%d" % i, 5)
        kept += status == 200
        joined += len(set(versions_of_runs(fleet, "before%d" % i)
                          + versions_of_runs(fleet, "other%d" % i))) > 1
    fleet.relay(6)
    wait_for("the relay is ready again", lambda: fleet.ready(6))
    for i in range(5, 10):
        take_up(fleet, "other%d" % i, "before%d" % i, 6)
        joined += len(set(versions_of_runs(fleet, "before%d" % i)
                          + versions_of_runs(fleet, "other%d" % i))) > 1
    assert (joined, kept) == (0, 5), (joined, kept)


def check_version_is_gone(fleet):
    """All targets of one version leave: its streams end, and none goes on at
    the other version."""
    attempts = ["gone%d" % i for i in range(12)]
    for attempt in attempts:
        begin(fleet, attempt)
    for target, version in zip(fleet.targets, VERSIONS):
        if version == "v1":
            target.stopped.set()
            time.sleep(0.25)
            assert target.post("deregister")[0] == 200
    time.sleep(0.3)
    for attempt in attempts:
        began = time.time()
        status, _, _ = take_up(fleet, "new-" + attempt, attempt, 5)
        version = versions_of_runs(fleet, attempt)[0]
        assert status == (503 if version == "v1" else 200), (version, status)
        assert time.time() - began < 0.5
        assert set(versions_of_runs(fleet, "new-" + attempt)) <= {version}


def check_one_version_left(fleet):
    """With one version, streams go on whose first attempt is not named."""
    fleet.kill("relay-5")
    fleet.relay(5)
    wait_for("the relay is ready again", lambda: fleet.ready(5))
    wait_for("an unnamed stream goes on", lambda: fleet.call(
        "resume", "stream", attempt="plain%d" % time.time_ns(),
        headers={"Last-Event-Id": "3"})[0] == 200, 10)


CHECKS = {
    "answer": [serve_two_versions, check_within_an_answer],
    "tries": [serve_two_versions, check_over_tries, check_over_three_tries,
              check_unknown_streams, check_restarted_relay,
              check_version_is_gone]}
run_checks(sys.argv[1], CHECKS[sys.argv[2]])
