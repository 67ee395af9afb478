# Tests what a check proves of the end of an answer without a length, through the
# relay and through an agent: a process that stood still or read slowly, a target that
# returns at once, gateways, targets of models, time limits.
run ()
{
  python3 "$@" || exit 1
}
run tests/relay_end_evidence.py "$1" check_relay_stalls_target_returns_at_once \
  check_slow_caller check_busy_target check_full_target \
  check_relay_stalls_target_sound check_relay_stalls_before_a_long_answer \
  check_draining_target_is_no_crash \
  check_late_heartbeat_of_a_new_life check_call_ends_while_its_end_is_checked \
  check_relay_stops_while_ends_are_checked
run tests/relay_end_checks.py "$1"
run tests/relay_end_limits.py "$1" limit
run tests/relay_end_limits.py "$1" model
run tests/entry_end_evidence.py "$1"
