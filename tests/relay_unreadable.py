"""Desired states, heartbeats, deregistrations and requests, each with one value
that cannot be read. All are refused, and nothing changes."""
import copy
import json
import sys
import time

from relay_fleet import Target, run_checks

OTHERS = ("seven", 7, 7.5, True, None, ["x"], [7], {"x": "y"})


def kind_of(value):
    if isinstance(value, bool):
        return "flag"
    return "number" if isinstance(value, (int, float)) else type(value)


def paths(value, at=()):
    """Path of each value within @value."""
    yield at
    if isinstance(value, dict):
        for name in value:
            yield from paths(value[name], at + (name,))
    elif isinstance(value, list):
        for n, item in enumerate(value):
            yield from paths(item, at + (n,))


def changed(whole, path, value):
    copied = copy.deepcopy(whole)
    inner = copied
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = value
    return copied


def full_manifest(fleet):
    """A manifest with all fields of the platform's pages."""
    whole = json.loads(fleet.manifest())
    whole["limits"]["throughput_per_s"] = 530000
    for route in whole["routes"]:
        route.update(session_affinity=True, target_itl_ms=150,
                     allowed_regions=["r-dc0", "r-dc1", "r-dc2"])
    whole["routes"][0]["traffic_split"] = [{"backend": "app", "weight": 90}]
    whole["backends"][0].update(protocol="h1", tls=False, runtime={
        "slots": 48, "kv_capacity": 310801, "kv_bytes": 192512,
        "bandwidth_mbps": 350000.0, "migrations": True, "replicas": True,
        "chunk_size": 4, "most": 12, "pin_duration_ms": 4000.0,
        "hold_ms": 2000.0, "cache_ref_s": 5.0, "model_list": [{"name": "m"}]})
    whole["tenants"][0].update(priority=1, allowed_regions=[])
    return whole


def check_manifests(fleet):
    whole = full_manifest(fleet)
    tried, taken = 0, []
    for path in list(paths(whole))[1:]:
        value = whole
        for step in path:
            value = value[step]
        for other in OTHERS:
            if kind_of(other) == kind_of(value) and other != [7]:
                continue
            if value == [] and other == ["x"]:
                continue
            whole["version"] += 1
            text = json.dumps(changed(whole, path, other))
            answer = fleet.control_request("POST", "/configuration/replace",
                                           text)
            tried += 1
            if answer is None or answer[0] != 400:
                taken.append((path, other, answer))
    assert not taken, "%d of %d were taken: %s" % (len(taken), tried, taken[:9])
    assert fleet.call("safe", key="foreign", attempt="foreign")[0] == 401
    whole["version"] += 1
    fleet.put_manifest(json.dumps(whole))
    fleet.version = whole["version"]
    print("%d manifests refused" % tried)


def check_texts(fleet):
    """Texts that JSON parsers read differently."""
    whole = full_manifest(fleet)
    whole["version"] += 1000
    text = json.dumps(whole)
    more = text.replace(str(whole["version"]), str(whole["version"] + 1))
    for bad in (text + more, text + "x", text[:-1] + ",}", "/**/" + text,
                text.replace('"tenants"', '"tenants": [], "tenants"'),
                text.replace('"k-old"', '"k-old\\u0000x"'),
                text.replace('"k-old"', '"\\ud800"')):
        answer = fleet.control_request("POST", "/configuration/replace", bad)
        assert answer and answer[0] == 400, (bad[-60:], answer)


def check_heartbeats(fleet):
    """Heartbeats of another writer that name a target of another service."""
    target = fleet.targets[0]
    path, text = target.statement(backend="other", phase="unified", model_list=[
        {"name": "m", "version": 1, "adapters": []}])
    whole = json.loads(text)
    whole["sequence"] += 1000
    required = ("backend", "address", "zone", "version", "slots", "state",
                "cold_remaining_ms", "sequence")
    texts = [{n: v for n, v in whole.items() if n != name} for name in required]
    for at in list(paths(whole))[1:]:
        value = whole
        for step in at:
            value = value[step]
        texts += [changed(whole, at, other) for other in OTHERS
                  if kind_of(other) != kind_of(value)]
    for bad in texts:
        whole["sequence"] += 1
        answer = fleet.control_request("POST", path + "heartbeat",
                                       json.dumps(bad))
        assert answer and answer[0] == 400, (bad, answer)
    for bad in ("[]", "{", '{"born":"7"}', '{"born":-1}', '{"born":7.5}'):
        answer = fleet.control_request("POST", path + "deregister", bad)
        assert answer and answer[0] == 400, (bad, answer)
    time.sleep(0.5)
    for i in range(12):
        assert fleet.call("safe", attempt="own%d" % i)[0] == 200
    served = {run[0] for i in range(12) for run in Target.runs["own%d" % i]}
    assert target.id in served, served
    print("%d heartbeats refused" % len(texts))


def check_heartbeats_are_logged_once_a_minute(fleet):
    time.sleep(1.1)  # what is logged for the checks before uses up a second
    sent = 200
    for i in range(sent):
        answer = fleet.control_request("POST", "/instances/noisy/" + (
            "heartbeat" if i % 2 else "deregister"), "[%d]" % i)
        assert answer and answer[0] == 400, answer
    time.sleep(0.3)
    lines = []
    for n in (2, 3, 4):
        with open("%s/127.0.0.%d.log" % (fleet.dir, n)) as log:
            lines += [line for line in log if "BEAT_BAD" in line
                      and "noisy" in line]
    print("%d lines for %d messages" % (len(lines), sent))
    assert 1 <= len(lines) <= 3, len(lines)


def check_requests(fleet):
    """Headers by which requests are counted and ended."""
    for name, value in (("Deadline-Ms", "soon"), ("Deadline-Ms", "12x"),
                        ("Deadline-Ms", "-5"), ("Deadline-Ms", "9" * 30),
                        ("Token-Count", "many"), ("Token-Count", "5,"),
                        ("Token-Count", "-5,7"), ("Token-Count", "5,7,9"),
                        ("Prefix-Hash", "xyz:10"), ("Prefix-Hash", "ab"),
                        ("Prefix-Hash", "ab:10;cd:5")):
        attempt = "bad-%s-%s" % (name, value)
        status, body, _ = fleet.call("safe", attempt=attempt, headers={
            "X-Quetzalgate-" + name: value})
        assert status == 400 and name.encode() in body, (name, value, status)
        assert attempt not in Target.runs
    status = fleet.call("safe", attempt="good", headers={
        "X-Quetzalgate-Token-Count": "120,8",
        "X-Quetzalgate-Prefix-Hash": "ab:100,cd:20"})[0]
    assert status == 200


run_checks(sys.argv[1], [check_manifests, check_texts, check_heartbeats,
                         check_heartbeats_are_logged_once_a_minute,
                         check_requests])
