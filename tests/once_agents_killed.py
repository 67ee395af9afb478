"""Checks that agents that are killed beside sound targets don't get sound bookings, all
with the same body, quarantined. usage: once_agents_killed.py BUILD"""
import collections
import sys
import threading
import time

from once_fleet import with_fleet

KILLS, CALLERS = 10, 4


def send_bookings(fleet, number, stop, replies):
    n = 0
    while not stop.is_set():
        n += 1
        replies.append(fleet.send_booking("e%d" % (n % 2), "sound-%d-%d" % (number, n),
                                          timeout=20)[:2])


def run_test(fleet):
    stop, replies = threading.Event(), []
    threads = [threading.Thread(target=send_bookings, args=(fleet, n, stop, replies),
                                daemon=True) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    agents = ["d" + n for n in fleet.targets]
    for kill in range(KILLS):
        time.sleep(0.8)
        agent = agents[kill % len(agents)]
        fleet.kill(agent)
        time.sleep(0.3)
        fleet.start(agent)
    stop.set()
    for thread in threads:
        thread.join(25)
    after = [fleet.send_booking("e%d" % (n % 2), "after-%d" % n, timeout=20)[0]
             for n in range(20)]
    seen = collections.Counter(replies)
    print("%s; %d of 20 served after the kills" % (dict(seen), after.count(200)))
    failed = any(status == 422 for status, _ in seen) or after.count(200) < 20
    if failed:
        print("FAILED: a sound booking was refused")
    if seen[502, "unknown"] == 0:
        print("FAILED: no booking was at an agent that was killed")
        failed = True
    return 1 if failed else 0


sys.exit(with_fleet(run_test))
