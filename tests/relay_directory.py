"""The list of all relays that a new leader sends 3 s after its election is lost on a
connection that has fallen silent. A relay that started meanwhile knows no other list,
and uses nothing of the retry budget until it has one."""
import sys
import time

from relay_fleet import run_checks, wait_for

LIST_AFTER_S = 3  # from the election until the whole list is sent
SILENT_BEFORE_S = 0.8  # before the list; shorter than silence takes to be noticed
# The silence is noticed, the connection is replaced, and the relay has been listed for
# the time after which it uses its part.
USED_AFTER_S = 8
ROUNDS = 3


def count_lines(fleet, name, text):
    with open("%s/%s.log" % (fleet.dir, name)) as log:
        return sum(text in line for line in log)


def elections(fleet):
    return sum(count_lines(fleet, "127.0.0.%d" % n, "became leader in term")
               for n in fleet.members)


def check_a_lost_list_is_sent_again(fleet):
    for i in range(ROUNDS):
        n = fleet.leader()
        before = elections(fleet)
        fleet.kill("relay-5")
        fleet.kill("127.0.0.%d" % n)
        wait_for("another member leads", lambda: elections(fleet) > before)
        elected = time.time()
        follows = count_lines(fleet, "relay-5", "following leader")
        fleet.relay(5)
        fleet.control(n)
        wait_for("the relay follows it", lambda: count_lines(
            fleet, "relay-5", "following leader") > follows)
        left = elected + LIST_AFTER_S - SILENT_BEFORE_S - time.time()
        assert left > 0, "the relay follows the leader too late"
        time.sleep(left)
        assert sum(fleet.proxies[m].silence("relay-5") for m in fleet.members) > 0
        time.sleep(SILENT_BEFORE_S + USED_AFTER_S)
        # One request in a window allows no resend; the constant part does.
        status = fleet.call("safe", "reset-once", "lost-%d" % i)[0]
        assert status == 200, status


run_checks(sys.argv[1], [check_a_lost_list_is_sent_again], proxied=True)
