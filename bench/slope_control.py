"""Measures three control members with N simulated daemons: the leader's CPU, memory
and traffic when idle and under changes, the time until a change is in force
everywhere, and the time until a new leader answers after the leader is killed.

    python3 bench/slope_control.py BUILD N [CHANGES]
"""

import hashlib
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request

BASE_PORT = 27000
OPERATOR_KEY = "bench-key"
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def write_settings(folder, i, role, peers):
    text = (f"[daemon]\nname=c{i}\nroles={role}\ndc=a\nregion=west\n"
            f"fleet_key_file={folder}/key\n"
            f"admin_listen=127.0.0.1:{BASE_PORT + 20 + i}\n"
            f"[peers]\ncontrol={peers}\n")
    if role == "control":
        digest = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
        text += (f"[control]\npeer_listen=127.0.0.1:{BASE_PORT + i}\n"
                 f"operator_listen=127.0.0.1:{BASE_PORT + 10 + i}\n"
                 f"data_folder={folder}/d{i}\ndocument={folder}/doc\n"
                 "bootstrap=yes\n"
                 f"[operator ops]\nkey_sha256={digest}\n"
                 "teams=workspaces;dcs;services\n")
    else:
        text += f"[entry]\nlisten=127.0.0.1:{BASE_PORT + 30}\n"
    path = f"{folder}/c{i}.ini"
    with open(path, "w", encoding="utf-8") as out:
        out.write(text)
    return path


def http_call(member, method, path, body=None):
    request = urllib.request.Request(
        f"http://127.0.0.1:{BASE_PORT + 10 + member}{path}", method=method,
        data=json.dumps(body).encode() if body else None,
        headers={"Authorization": "Bearer " + OPERATOR_KEY})
    with urllib.request.urlopen(request, timeout=5) as answer:
        return json.load(answer)


def find_leader():
    while True:
        for i in (1, 2, 3):
            try:
                return i, http_call(i, "GET", "/v1/status")
            except (urllib.error.URLError, OSError):
                time.sleep(0.02)


def process_usage(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{pid}/statm", encoding="ascii") as statm:
        pages = int(statm.read().split()[1])
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S, pages * 4096 / 2**20


def peer_bytes(member):
    with urllib.request.urlopen(
            f"http://127.0.0.1:{BASE_PORT + 20 + member}/metrics") as answer:
        text = answer.read().decode()
    return sum(int(n) for n in
               re.findall(r"peer_bytes\w*\{[^}]*\} (\d+)", text))


def print_cost(name, pid, member, seconds, work):
    cpu, _ = process_usage(pid)
    sent = peer_bytes(member)
    begin = time.monotonic()
    work(seconds)
    span = time.monotonic() - begin
    after, memory = process_usage(pid)
    print(f"{name}: leader {100 * (after - cpu) / span:.2f} % of a core, "
          f"{memory:.1f} MiB, {(peer_bytes(member) - sent) / span / 1024:.1f} KiB/s")


def submit_change(member, i):
    edit = {"section": "dc a", "key": "state", "value": ("out", "in")[i % 2]}
    answer = http_call(member, "POST", "/v1/changes",
                       {"change_id": f"bench-{os.getpid()}-{i}", "edits": [edit]})
    return answer["revision"], time.monotonic()


def percentile(values, part):
    return sorted(values)[min(len(values) - 1, int(len(values) * part))]


def main():
    build, count = sys.argv[1], int(sys.argv[2])
    changes = int(sys.argv[3]) if len(sys.argv) > 3 else 50
    with tempfile.TemporaryDirectory() as folder:
        peers = ";".join(f"c{i}@127.0.0.1:{BASE_PORT + i}" for i in (1, 2, 3))
        with open(f"{folder}/key", "w", encoding="ascii") as out:
            out.write("0123456789abcdef0123456789abcdef\n")
        with open(f"{folder}/doc", "w", encoding="ascii") as out:
            out.write("[dc a]\nregion=west\nstate=in\n")
        started = {}
        with open(f"{folder}/log", "w", encoding="ascii") as log:
            for i in (1, 2, 3):
                started[i] = subprocess.Popen(
                    [f"{build}/quetzalgated",
                     write_settings(folder, i, "control", peers)],
                    stdout=log, stderr=log)
            time.sleep(2)
            with open(f"{folder}/watch", "w", encoding="ascii") as out:
                simulation = subprocess.Popen(
                    [f"{build}/slope_control",
                     write_settings(folder, 4, "entry", peers), str(count), "45"],
                    stdout=out)
            try:
                measure(folder, started, simulation, count, changes)
            finally:
                for process in [*started.values(), simulation]:
                    process.kill()


def measure(folder, started, simulation, count, changes):
    time.sleep(4)
    member, status = find_leader()
    print(f"{status['daemons']} of {count} daemons connected")
    print_cost("idle", started[member].pid, member, 5, time.sleep)
    accepted = {}

    def work(_):
        for i in range(changes):
            revision, at = submit_change(member, i)
            accepted[revision] = at
            time.sleep(0.2)

    print_cost(f"{changes} changes, 5 a second", started[member].pid, member, 0, work)
    time.sleep(1)
    started[member].send_signal(signal.SIGKILL)
    begin = time.monotonic()
    member, _ = find_leader()
    print(f"a new leader answers after {time.monotonic() - begin:.2f} s")
    time.sleep(4)
    revision, at = submit_change(member, changes)
    accepted[revision] = at
    simulation.wait()
    with open(f"{folder}/watch", encoding="ascii") as lines:
        text = lines.read()
    seen = {int(r): int(t) / 1e6 for r, t in
            re.findall(r"revision (\d+) at (\d+)", text)}
    spans = [max(0.0, seen[r] - at) for r, at in accepted.items() if r in seen]
    print(f"in force everywhere, {len(spans)} of {len(accepted)} changes: "
          f"p50 {percentile(spans, 0.5):.3f} s, max {max(spans):.3f} s")
    print(text.splitlines()[-1])


main()
