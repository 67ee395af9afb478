"""Operators make concurrent changes and repeat unanswered ones while control
members are killed at random; then the history is checked against the answers.

usage: race.py BUILD-FOLDER SEED SECONDS
"""
import hashlib
import http.client
import json
import os
import random
import subprocess
import sys
import tempfile
import threading
import time

from free_port import free_port

KEY = "operator-key"
MEMBERS = ["c1", "c2", "c3"]
DOCUMENT = "[service m]\nkind=model\n"
WORKSPACES = 4
CALL_TIMEOUT_S = 1.5
SETTLE_S = 20
PAGE = 1000


class Fleet:
    """Three control members as processes."""

    def __init__(self, build, folder):
        self.build, self.folder, self.procs = build, folder, {}
        self.ports = {name: (free_port(), free_port()) for name in MEMBERS}
        peers = ";".join("%s@127.0.0.1:%d" % (n, self.ports[n][0]) for n in MEMBERS)
        self.write("fleet.key", "a-fleet-key-of-this-test\n")
        self.write("document.ini", DOCUMENT)
        for name in MEMBERS:
            peer, operator = self.ports[name]
            self.write(name + ".ini", "\n".join([
                "[daemon]", "name=" + name, "roles=control", "dc=d", "region=r",
                "fleet_key_file=" + self.path("fleet.key"),
                "[control]", "peer_listen=127.0.0.1:%d" % peer,
                "operator_listen=127.0.0.1:%d" % operator,
                "data_folder=" + self.path(name), "document=" + self.path("document.ini"),
                "bootstrap=" + ("yes" if name == "c1" else "no"),
                "[peers]", "control=" + peers,
                "[operator ann]", "teams=workspaces;dcs;services",
                "key_sha256=" + hashlib.sha256(KEY.encode()).hexdigest(), ""]))

    def path(self, name):
        return os.path.join(self.folder, name)

    def write(self, name, text):
        with open(self.path(name), "w") as out:
            out.write(text)

    def start(self, name):
        with open(self.path(name + ".log"), "a") as log:
            self.procs[name] = subprocess.Popen(
                [os.path.join(self.build, "quetzalgated"), self.path(name + ".ini")],
                stdout=log, stderr=log)

    def kill(self, name):
        self.procs[name].kill()
        self.procs[name].wait()

    def stop(self):
        for proc in self.procs.values():
            proc.kill()
            proc.wait()

    def call(self, name, method, path, body=None):
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[name][1],
                                                timeout=CALL_TIMEOUT_S)
        try:
            connection.request(method, path, body and json.dumps(body),
                               {"Authorization": "Bearer " + KEY})
            answer = connection.getresponse()
            return answer.status, json.loads(answer.read())
        finally:
            connection.close()

    def call_until_decided(self, rng, method, path, body=None, until=None):
        """Calls random members until one decides; repeats unanswered calls."""
        while until is None or time.time() < until:
            name = rng.choice(MEMBERS)
            try:
                status, answer = self.call(name, method, path, body)
            except (OSError, http.client.HTTPException, ValueError):
                continue
            if status in (502, 503, 504):
                time.sleep(0.02)
                continue
            return status, answer
        return None


class Operator(threading.Thread):
    """Changes a weight on the newest revision in a loop, and repeats about 30 % of
    the answered changes."""

    def __init__(self, fleet, number, seed, until):
        super().__init__()
        self.fleet, self.number, self.until = fleet, number, until
        self.rng = random.Random(seed * 100 + number)
        self.answers, self.errors, self.open = {}, [], None

    def run(self):
        count = 0
        while time.time() < self.until:
            newest = self.fleet.call_until_decided(
                self.rng, "GET", "/v1/history?count=1", until=self.until)
            if newest is None:
                return
            count += 1
            change = "o%d-%d" % (self.number, count)
            name = "workspace w%d" % self.rng.randrange(WORKSPACES)
            text = "# %s\n[%s]\nweight=%d" % (change, name, self.rng.randrange(1, 9999))
            body = {"change_id": change, "base": newest[1]["revision"], "sections": {name: text}}
            self.open = change
            answer = self.send(body)
            if answer is None:
                return
            self.open = None
            self.answers[change] = (body["base"],) + answer
            if self.rng.random() < 0.3:
                repeated = self.send(body)
                if repeated is not None and repeated != answer:
                    self.errors.append("%s: %s, then %s" % (change, answer, repeated))

    def send(self, body):
        reply = self.fleet.call_until_decided(
            self.rng, "POST", "/v1/changes", body, self.until + 5)
        return reply and (reply[0], reply[1]["revision"], reply[1].get("winner_change"))


def check(operators, history):
    """Lists where the history contradicts the answers of the operators."""
    errors = sum((o.errors for o in operators), [])
    rows = {row["change_id"]: row["revision"] for row in history}
    revisions = sorted(row["revision"] for row in history)
    unanswered = {o.open for o in operators}
    if revisions != list(range(1, len(revisions) + 1)):
        errors.append("revisions are not consecutive: %s..." % revisions[:10])
    if len(rows) != len(history):
        errors.append("a change id occurs twice in the history")
    for operator in operators:
        for change, (base, status, revision, winner) in operator.answers.items():
            if status == 200 and rows.get(change) != revision:
                errors.append("%s was accepted as %d, history has %s"
                              % (change, revision, rows.get(change)))
            if status == 200 and revision != base + 1:
                errors.append("%s on base %d became %d" % (change, base, revision))
            if status != 200 and change in rows:
                errors.append("%s was refused but is in the history" % change)
            if status == 409 and rows.get(winner) != base + 1:
                errors.append("%s lost base %d to %s, which has %s"
                              % (change, base, winner, rows.get(winner)))
    for change in rows:
        known = any(change in o.answers for o in operators) or change in unanswered
        if not known and change != "first-document":
            errors.append("%s is in the history but was never sent" % change)
    return errors


def read_history(fleet, rng):
    """Returns the whole history, newest first, or None if no leader answers."""
    history = []
    while True:
        path = "/v1/history?count=%d&skip=%d" % (PAGE, len(history))
        reply = fleet.call_until_decided(rng, "GET", path, until=time.time() + SETTLE_S)
        if reply is None:
            return None
        history += reply[1]["history"]
        if len(reply[1]["history"]) < PAGE:
            return history


def main():
    build, seed, seconds = os.path.abspath(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(build, folder)
        try:
            for name in MEMBERS:
                fleet.start(name)
            until = time.time() + seconds
            operators = [Operator(fleet, n, seed, until) for n in range(3)]
            for operator in operators:
                operator.start()
            kills = 0
            time.sleep(2)
            while time.time() < until - 1:
                name = rng.choice(MEMBERS)
                fleet.kill(name)
                kills += 1
                time.sleep(rng.uniform(0, 1.0))
                fleet.start(name)
                time.sleep(rng.uniform(0.5, 2.0))
            for operator in operators:
                operator.join()
            history = read_history(fleet, rng)
            errors = check(operators, history) if history else ["no leader answered at the end"]
        finally:
            fleet.stop()
        answers = [a for o in operators for a in o.answers.values()]
        print("seed %d: %d changes sent, %d accepted, %d lost a conflict, %d kills, %d errors"
              % (seed, len(answers), sum(a[1] == 200 for a in answers),
                 sum(a[1] == 409 for a in answers), kills, len(errors)))
        for error in errors[:20]:
            print(error)
        accepted = sum(a[1] == 200 for a in answers)
        return 1 if errors or accepted == 0 else 0


if __name__ == "__main__":
    sys.exit(main())
