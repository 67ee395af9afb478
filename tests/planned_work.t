# Tests that requests beside planned work are answered: relays that stop and
# return, reloads, control members that stop, changes of the manifest.
sh tests/each_check.sh tests/relay_planned.py "$1" \
  "45 6 - check_pipelined_behind_a_stop check_relays_in_turn check_relays_at_once" \
  "45 6 - check_reloads check_control_stops check_all" \
  "45 6 - check_low_memory check_silence check_all_beside_silence"
