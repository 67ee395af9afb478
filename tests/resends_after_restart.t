# Tests that relays that end and return do not exceed the retry budget of the fleet.
python3 tests/relay_budget.py "$1"
