"""Checks that a booking that ends its target together with the agent, as one that makes
their VM fail, is refused after it has ended as many as one that ends targets only.
usage: once_poison_vm.py BUILD [SECONDS that the VM is away]"""
import sys
import time

from once_fleet import Target, with_fleet

SENDS = 8
AWAY_S = float(sys.argv[2]) if len(sys.argv) > 2 else 0.3
MAX_CRASHES = 4  # docs/design/retries-poison.md: 3, and 1 if all were at one target


class TargetOfVm(Target):
    fleet = None

    def crash(self):
        agent = next("d" + n for n, target in self.fleet.targets.items() if target is self)
        self.fleet.kill(agent)
        super().crash()
        time.sleep(AWAY_S)
        self.fleet.start(agent)


def run_test(fleet):
    TargetOfVm.fleet = fleet
    replies = []
    for n in range(SENDS):
        for i in range(6):
            fleet.send_booking("e%d" % (i % 2), "ok-%d-%d" % (n, i), timeout=20)
        replies.append(fleet.send_booking("e0", "poison-%d" % n, "poison", timeout=20)[:2])
        time.sleep(0.5)
    crashes = sum(target.crashes for target in fleet.targets.values())
    print("%d crashes in %d sendings: %s" % (crashes, SENDS, replies))
    if crashes > MAX_CRASHES:
        print("FAILED: more than %d targets ended" % MAX_CRASHES)
    return 1 if crashes > MAX_CRASHES else 0


sys.exit(with_fleet(run_test, make_target=TargetOfVm))
