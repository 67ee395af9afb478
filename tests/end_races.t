# Tests that a relay does not crash if a call ends while the end of its answer is
# checked.
python3 tests/relay_end_races.py "$1"
