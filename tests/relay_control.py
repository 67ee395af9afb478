"""Changes of the manifest, targets that leave, and control members that stop,
are replaced or lose their disks, as callers and operators see them."""
import json
import os
import shutil
import signal
import subprocess
import sys
import threading
import time

from relay_fleet import KEY, Target, run_checks, wait_for

# Time limits of the platform, in seconds.
APPLY_S, REVOKE_S, RECOVER_S = 2.5, 5, 12


def fetched_version(fleet):
    answer = fleet.control_request("GET", "/configuration/fetch",
                                   members=(2, 3, 4, 7))
    return json.loads(answer[1])["version"] if answer else 0


def check_versions(fleet):
    accepted = fleet.version
    old = json.loads(fleet.manifest())
    fleet.version = accepted
    old.update(version=accepted - 1, routes=[])
    for text, status in ((json.dumps(old), 200), ("{\"version\":99", 400)):
        answer = fleet.control_request("POST", "/configuration/replace", text)
        assert answer[0] == status, (text[:60], answer)
    assert fetched_version(fleet) == accepted
    fleet.version = accepted + 50
    fleet.put_manifest(fleet.manifest())
    assert fetched_version(fleet) == fleet.version
    wait_for("the newest manifest is served",
             lambda: fleet.call("safe")[0] == 200, APPLY_S)


def check_revoked_key(fleet):
    assert fleet.call("safe", attempt="old1", key="k-old")[0] == 200
    fleet.put_manifest(
        fleet.manifest(tenants=[{"name": "one", "api_keys": [KEY]}]))
    wait_for("the key is refused",
             lambda: all(fleet.call("safe", key="k-old", relay=n)[0] == 401
                         for n in (5, 6)), APPLY_S)
    assert fleet.call("safe", attempt="old3")[0] == 200


def targets_of(fleet, attempt):
    return [run[0] for run in Target.runs.get(attempt, [])]


def check_leaving_target(fleet):
    target = fleet.targets[0]
    target.state = "draining"
    assert target.post("heartbeat")[0] == 200
    time.sleep(0.5)
    for i in range(20):
        fleet.call("safe", attempt="drain%d" % i, relay=5 + i % 2)
        assert target.id not in targets_of(fleet, "drain%d" % i)
    target.state = "ready"
    wait_for("the target is used again", lambda: target.id in sum(
        (targets_of(fleet, "d%d" % i) for i in range(20)
         if fleet.call("safe", attempt="d%d" % i)), []))


def check_late_heartbeat(fleet):
    """A heartbeat from before a target deregistered reaches a new leader, which
    does not know that the target left."""
    target = fleet.targets[0]
    old = target.sequence
    target.stopped.set()
    time.sleep(0.3)
    assert target.post("deregister")[0] == 200
    time.sleep(0.3)
    leader = fleet.leader()
    fleet.kill("127.0.0.%d" % leader)
    wait_for("another member leads",
             lambda: fleet.leader() not in (None, leader))
    wait_for("the late heartbeat is accepted",
             lambda: (target.post("heartbeat", old) or (0,))[0] == 200)
    time.sleep(1.5)  # the relays follow the new leader
    for i in range(20):
        fleet.call("safe", attempt="late%d" % i, relay=5 + i % 2)
        assert target.id not in targets_of(fleet, "late%d" % i), i
    fleet.control(leader)
    fleet.targets[0] = Target(fleet, 10, "app", "dc0")


def check_version_of_a_rejected_heartbeat(fleet):
    """A late heartbeat of an earlier life adds no version to the log."""
    target = fleet.targets[1]
    path, text = target.statement(version="made-up", born=target.born - 1000)
    assert fleet.control_request("POST", path + "heartbeat", text)[0] == 200
    time.sleep(0.3)
    for n in fleet.members:
        with open("%s/127.0.0.%d.log" % (fleet.dir, n)) as log:
            assert "version=made-up" not in log.read()


def check_drained_dc(fleet):
    assert fleet.control_request("POST", "/drain/dc1/begin")[0] == 200
    assert fleet.control_request("POST", "/drain/dc1/begin")[0] == 200
    time.sleep(0.5)
    for i in range(20):
        fleet.call("safe", attempt="e%d" % i, relay=5 + i % 2)
        assert fleet.targets[1].id not in targets_of(fleet, "e%d" % i)
    assert fleet.control_request("POST", "/drain/dc1/finish")[0] == 200


def check_odd_values(fleet):
    """Deeply nested values, and numbers out of range, from another writer end no
    control member, and the targets that hold stay in use."""
    nested = ("[" * 100000 + "]" * 100000, '{"x":' * 100000 + "1" + "}" * 100000,
              "1e999", "-1", "9" * 400, '"\\ud800"')
    for value in nested:
        text = ('{"backend":"app","address":"127.0.0.20:70000","zone":"dc0",'
                '"state":"ready","slots":%s,"sequence":1,"x":%s}'
                % (value if len(value) < 500 else 60, value))
        for path in ("/instances/odd/heartbeat", "/instances/odd/deregister",
                     "/configuration/replace"):
            for member in (2, 3, 4):
                fleet.control_request("POST", path, text, members=(member,))
    assert fleet.control_request(
        "POST", "/instances/%s/deregister" % ("x" * 300), "{}")[0] == 400
    for member in (2, 3, 4):
        assert fleet.processes["127.0.0.%d" % member].poll() is None, member
    assert fleet.call("safe", attempt="after-odd")[0] == 200


def check_graceful_stop(fleet):
    """A relay that shuts down completes open requests and refuses late ones."""
    done, ends = [], []
    # No request may reach its deadline, which would end its answer, too.
    manifest = json.loads(fleet.manifest())
    for route in manifest["routes"]:
        route["timeout_ms"] = 20000
    fleet.put_manifest(json.dumps(manifest))
    time.sleep(2.5)  # within which it is in force

    def stream(n):
        status, body, _ = fleet.call("streaming", "trickle", relay=6,
                                     attempt="trickle%d" % n, timeout_ms=19000)
        ends.append((status, body.endswith(b"data: p60\n\n")))

    def streams():
        """Streams that end one after another, until after the relay has closed
        idle connections."""
        each = [threading.Thread(target=stream, args=(n,)) for n in range(40)]
        for thread in each:
            thread.start()
            time.sleep(0.011)
        for thread in each:
            thread.join()

    trickle = threading.Thread(target=streams)
    trickle.start()
    time.sleep(0.6)
    running = threading.Thread(target=lambda: done.append(
        fleet.call("unsafe", "slow", attempt="graceful", relay=6)[0]))
    running.start()
    wait_for("the target runs it", lambda: targets_of(fleet, "graceful"))
    fleet.kill("relay-6", signal.SIGTERM)
    time.sleep(0.1)
    assert not fleet.ready(6)
    status, _, headers = fleet.call("safe", attempt="closing", relay=6)
    assert status == 200 and headers["Connection"] == "close"
    status, _, headers = fleet.call("streaming", "stream", attempt="too-long",
                                    relay=6, headers={
                                        "X-Quetzalgate-Token-Count": "9,900"})
    assert (status, float(headers["Retry-After"])) == (503, 0), status
    assert targets_of(fleet, "too-long") == []
    running.join()
    assert done == [200], done
    trickle.join()
    assert len(ends) == 40 and all(end == (200, True) for end in ends), ends
    assert fleet.processes["relay-6"].wait(timeout=7) == 0
    fleet.relay(6)
    wait_for("the relay is ready again", lambda: fleet.ready(6))


def check_signals_while_starting(fleet):
    """While a process reads its settings (here from a pipe that the test holds
    open), SIGHUP does not kill it and SIGTERM ends it with exit code 0."""
    text = (fleet.common_settings("starting", "relay", "dc0") + "[relay]\n"
            "listen=127.0.0.30:%d\nready_listen=127.0.0.30:%d\n"
            "peer_listen=127.0.0.30:%d\ngrace_s=6\n"
            % tuple(fleet.port + n for n in (2, 3, 4)))
    for how in (signal.SIGHUP, signal.SIGTERM):
        pipe = "%s/pipe-%d.ini" % (fleet.dir, how)
        log = "%s/starting-%d.log" % (fleet.dir, how)
        os.mkfifo(pipe)
        process = subprocess.Popen(
            ["%s/quetzalgated" % fleet.build, pipe], stdout=open(log, "w"))
        with open(pipe, "w") as settings:  # blocks until the process reads
            process.send_signal(how)
            time.sleep(0.2)
            assert process.poll() is None, process.returncode
            os.unlink(pipe)  # the reload reads a regular file
            with open(pipe, "w") as again:
                again.write(text)
            settings.write(text)
        if how == signal.SIGHUP:
            wait_for("the reload is logged",
                     lambda: "SETTINGS_" in open(log).read())
            process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=8) == 0
        assert "STOPPED" in open(log).read()


def check_all_control_killed(fleet):
    accepted = fleet.version
    fleet.put_manifest(fleet.manifest())
    assert fleet.control_request("POST", "/drain/dc2/begin")[0] == 200
    for n in (2, 3, 4):
        fleet.kill("127.0.0.%d" % n)
    assert fleet.call("safe")[0] == 200  # served without control
    for n in (2, 3, 4):
        fleet.control(n)
    wait_for("the acknowledged manifest is restored",
             lambda: fetched_version(fleet) == fleet.version > accepted,
             RECOVER_S)
    wait_for("requests are served", lambda: fleet.call("safe")[0] == 200)
    time.sleep(1)
    for i in range(10):
        fleet.call("safe", attempt="f%d" % i)
        assert fleet.targets[2].id not in targets_of(fleet, "f%d" % i)
    assert fleet.control_request("POST", "/drain/dc2/finish")[0] == 200


def check_keys_without_control(fleet):
    """Without control a revoked key would go unnoticed: after REVOKE_S no
    request with a key runs, and the refusal says why."""
    for n in (2, 3, 4):
        fleet.kill("127.0.0.%d" % n)
    time.sleep(REVOKE_S)
    for n in (5, 6):
        status, body, _ = fleet.call("safe", attempt="cut-off%d" % n, relay=n)
        assert status == 503 and b"cut off" in body, (status, body)
        assert targets_of(fleet, "cut-off%d" % n) == []
        assert not fleet.ready(n)
    for n in (2, 3, 4):
        fleet.control(n)
    wait_for("requests are served",
             lambda: all(fleet.call("safe", relay=n)[0] == 200 for n in (5, 6)),
             RECOVER_S)


def check_replaced_member(fleet):
    """An empty member at a new address replaces a lost one; then the fleet
    survives the loss of another disk."""
    fleet.kill("127.0.0.2")
    fleet.control(7)
    log = "member=127.0.0.2 was replaced"
    wait_for("the lost member is removed", lambda: any(
        log in open("%s/127.0.0.%d.log" % (fleet.dir, n)).read()
        for n in (3, 4)), RECOVER_S)
    fleet.kill("127.0.0.3")
    shutil.rmtree("%s/data-127.0.0.3" % fleet.dir)
    fleet.version += 1
    text = fleet.manifest()
    wait_for("two of three members commit a change",
             lambda: (fleet.control_request(
                 "POST", "/configuration/replace", text, members=(4, 7))
                 or (0,))[0] == 200, RECOVER_S)
    fleet.control(3)
    wait_for("requests are served", lambda: fleet.call("safe")[0] == 200)


run_checks(sys.argv[1], [check_versions, check_revoked_key,
                        check_leaving_target,
                        check_version_of_a_rejected_heartbeat,
                        check_late_heartbeat,
                        check_drained_dc, check_odd_values,
                        check_graceful_stop,
                        check_signals_while_starting,
                        check_all_control_killed, check_keys_without_control,
                        check_replaced_member])
