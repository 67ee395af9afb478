# Tests that entries that end and return do not exceed the retry budget of the fleet.
python3 tests/entry_budget.py "$1"
