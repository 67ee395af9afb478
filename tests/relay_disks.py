"""Disks of control members that stall, or refuse writes for a while. Nothing is
acknowledged without a quorum of disks, and all members serve again without a
restart."""
import os
import sys
import time

from relay_fleet import Target, run_checks, wait_for

BUILD = os.path.abspath(sys.argv[1])
MEMBERS = (2, 3, 4)
STALLED = ".stall"  # see failing_disk.c
REFUSED_S = 4
SERVED_S = 12  # recovery_s of the platform
COMMAND_S = 5  # after which a command has no known outcome
BEAT_S = 0.5  # the rig's control takes a target for gone after 1.6 s


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


def stall(fleet, members):
    for n in members:
        open(flag(fleet, n) + STALLED, "w").close()


def go_on(fleet, members):
    for n in members:
        os.unlink(flag(fleet, n) + STALLED)


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


def has_logged(fleet, name, *words):
    with open(os.path.join(fleet.dir, name + ".log")) as log:
        return any(all(word in line for word in words) for line in log)


def check_a_version_is_saved_late(fleet):
    """The followers' disks stall while a target of a new version starts, for
    longer than the leader waits, and work before the next heartbeat."""
    leader = fleet.leader()
    followers = [n for n in MEMBERS if n != leader]
    stall(fleet, followers)
    target = Target(fleet, 9, "app", "dc0", version="late")
    fleet.targets.append(target)
    time.sleep(0.1)
    target.beats = False
    began = beat_at = time.time()
    while not has_logged(fleet, "127.0.0.%d" % leader, "version=late ",
                         "may still be applied"):
        assert time.time() < began + SERVED_S, "no command without an outcome"
        if beat_at <= time.time() < began + COMMAND_S - BEAT_S / 2:
            target.post("heartbeat")
            beat_at += BEAT_S
        time.sleep(0.01)
    go_on(fleet, followers)
    time.sleep(BEAT_S)
    target.beats = True
    for relay in fleet.relays:
        wait_for("relay %d knows the target" % relay, lambda: has_logged(
            fleet, "relay-%d" % relay, "TARGET_SEEN", target.id), SERVED_S)


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


run_checks(BUILD, [preload, check_a_version_is_saved_late,
                   check_all_disks_refuse_writes,
                   check_the_leaders_disk_refuses_writes,
                   check_nothing_is_lost])
