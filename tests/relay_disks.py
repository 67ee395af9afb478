"""Disks of control members that refuse writes for a while. Nothing is
acknowledged without a quorum of disks, and all members serve again without a
restart."""
import os
import sys
import time

from relay_fleet import run_checks, wait_for

BUILD = os.path.abspath(sys.argv[1])
MEMBERS = (2, 3, 4)
REFUSED_S = 4
SERVED_S = 12  # recovery_s of the platform


def flag(fleet, n):
    return os.path.join(fleet.dir, "refuse-%d" % n)


def preload(fleet):
    os.environ["LD_PRELOAD"] = os.path.join(BUILD, "failing_disk.so")
    for n in MEMBERS:
        fleet.kill("127.0.0.%d" % n)
        os.environ["FAILING_DISK_FILE"] = flag(fleet, n)
        fleet.control(n)
    del os.environ["LD_PRELOAD"]
    wait_for("a leader is elected", lambda: fleet.leader() is not None)


def change(fleet):
    """Sends the next manifest once; whether it was acknowledged."""
    fleet.version += 1
    answer = fleet.control_request("POST", "/configuration/replace",
                                   fleet.manifest())
    return answer is not None and answer[0] == 200


def wait_for_change(fleet):
    began = time.time()
    wait_for("a change is acknowledged", lambda: change(fleet), SERVED_S)
    print("acknowledged after %.2f s" % (time.time() - began))


def refuse(fleet, members):
    for n in members:
        open(flag(fleet, n), "w").close()


def work(fleet, members):
    for n in members:
        os.unlink(flag(fleet, n))


def check_all_disks_refuse_writes(fleet):
    refuse(fleet, MEMBERS)
    until = time.time() + REFUSED_S
    while time.time() < until:
        assert not change(fleet)
    work(fleet, MEMBERS)
    wait_for_change(fleet)


def check_the_leaders_disk_refuses_writes(fleet):
    leader = fleet.leader()
    refuse(fleet, (leader,))
    wait_for_change(fleet)
    time.sleep(REFUSED_S)
    work(fleet, (leader,))
    time.sleep(1)
    other = [n for n in MEMBERS if n != leader][0]
    fleet.kill("127.0.0.%d" % other)
    wait_for_change(fleet)
    fleet.control(other)
    time.sleep(1)


def check_nothing_is_lost(fleet):
    """The newest change outlives the end of all members."""
    assert change(fleet)
    version = fleet.version
    for n in MEMBERS:
        fleet.kill("127.0.0.%d" % n)
    for n in MEMBERS:
        fleet.control(n)
    wait_for("the newest change is read", lambda: (
        lambda answer: answer is not None and answer[0] == 200
        and b'"version": %d' % version in answer[1])(
            fleet.control_request("GET", "/configuration/fetch")))


run_checks(BUILD, [preload, check_all_disks_refuse_writes,
                   check_the_leaders_disk_refuses_writes,
                   check_nothing_is_lost])
