# Tests that relays that end and return do not exceed the rate of a cold target.
python3 tests/relay_cold.py "$1" check_steady check_relays_end_and_return
