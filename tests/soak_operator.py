"""The operator of a soak run (tests/soak.py), and a rival that sends what is old or
invalid."""
import json
import random
import time

from relay_fleet import KEY, wait_for


class Operator:
    """A part of Soak."""

    def manifest_text(self, n):
        """Manifest @n: every second one adds a route and a key. The first three
        have the key k-old and the first five the route "gone", later ones don't."""
        manifest = json.loads(self.fleet.manifest())
        names = ["r%d" % i for i in range(4, n + 1, 2)]
        first = manifest["routes"][0]
        for name in names + ["gone"] * (n < 6):
            manifest["routes"].append(
                dict(first, name=name, path_prefix="/%s/" % name))
        manifest["tenants"][0]["api_keys"] = (
            [KEY] + ["k-" + name for name in names] + ["k-old"] * (n < 4))
        if n >= 4 and n % 2 == 0:
            self.probes.append(names[-1])
        return json.dumps(manifest)

    def replace(self, text):
        answer = self.fleet.control_request(
            "POST", "/configuration/replace", text)
        return answer[0] if answer else None

    def replace_valid(self, text):
        """Whether a valid manifest was acknowledged; refused it may never be."""
        status = self.replace(text)
        if status is not None and status != 200:
            self.fail("CONFIG: the valid version %d was refused with %d"
                      % (json.loads(text)["version"], status))
        return status == 200

    def operator(self):
        """Replaces the manifest twice a second."""
        n, judge = 0, self.judge
        while not self.stop.is_set():
            n += 1
            text = self.manifest_text(n)
            if self.replace_valid(text):
                now = time.time()
                judge.acked.append((now, json.loads(text)["version"]))
                for name in ["r%d" % i for i in range(4, n + 1, 2)]:
                    judge.added.setdefault(name, now)
                    judge.added.setdefault("k-" + name, now)
                if n >= 4 and self.key_removed_at is None:
                    self.key_removed_at = now
                if n >= 6:
                    judge.dropped.setdefault("gone", now)
                if n % 5 == 0:
                    self.replace_valid(text)
            self.texts.append(text)
            self.stop.wait(0.5)

    def rival(self, seed):
        """Sends old and invalid manifests, and reads back what members hold."""
        rng = random.Random(seed)
        while not self.stop.is_set():
            self.stop.wait(rng.random() * 0.4)
            if not self.texts:
                continue
            if rng.random() < 0.3:
                self.replace_valid(rng.choice(self.texts))
            if rng.random() < 0.3:
                self.send_invalid(rng)
            member, at = rng.choice(self.members), time.time()
            answer = self.fleet.control_request(
                "GET", "/configuration/fetch", members=(member,))
            if answer and answer[0] == 200:
                self.judge.reads.append(
                    (at, member, json.loads(answer[1])["version"]))

    def send_invalid(self, rng):
        manifest = json.loads(self.texts[-1])
        manifest["version"] += 1
        manifest["routes"].append(dict(manifest["routes"][0], name="invalid",
                                       path_prefix="/invalid/"))
        rng.choice((
            lambda: manifest["routes"][-1].update(backend="missing"),
            lambda: manifest["routes"][-1].update(max_attempts="2"),
            lambda: manifest["tenants"].append(
                {"name": "two", "api_keys": [KEY]}),
            lambda: manifest["routes"][-1].update(timeout_ms=0),
            lambda: manifest["routes"].append(dict(
                manifest["routes"][-1], name="same"))))()
        status = self.replace(json.dumps(manifest))
        if status is not None and status < 300:
            self.fail("CONFIG: an invalid manifest was acknowledged with %d: %s"
                      % (status, json.dumps(manifest)[-300:]))

    def check_config(self):
        found = []

        def fetched():
            answer = self.fleet.control_request("GET", "/configuration/fetch")
            found[:] = [json.loads(answer[1])["version"]
                        if answer and answer[0] == 200 else None]
            return found[0] is not None

        wait_for("the manifest can be fetched", fetched, 20)
        newest = max(version for _, version in self.judge.acked)
        if found[0] < newest:
            self.fail("CONFIG: version %d was acknowledged, but version %d was "
                      "fetched" % (newest, found[0]))
