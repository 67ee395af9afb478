# Tests that relays that end and return do not exceed the retry budget of the fleet.
sh tests/each_check.sh tests/relay_budget.py "$1" check_steady \
  check_relay_ends_and_returns check_relays_end_and_return check_leader_ends
