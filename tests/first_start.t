# Tests that one fleet begins at a first start, whatever the order of the starts and
# of the addresses. Two began, each of which acknowledged changes, where a process
# that is no seed sorted before the seeds. A process joins also where the leader is no
# seed and is elected after it has connected: it waited for ever.
sh tests/each_check.sh tests/control_first_start.py "$1" \
  "check_seeds_sort_last" "check_other_seeds" "check_restarts" \
  "check_two_fleets_meet" "check_leader_after_connecting" \
  "check_founder_gone"
