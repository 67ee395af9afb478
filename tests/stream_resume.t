# Tests that a resumed stream repeats no event.
python3 tests/relay_streams.py "$1" resumed
