# Tests that relays that end and return keep to the rate that a target states.
python3 tests/relay_limit.py "$1" check_steady check_relays_end_and_return
