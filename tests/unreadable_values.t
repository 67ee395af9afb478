# Tests that what cannot be read in a message is refused, and never taken for
# missing.
python3 tests/relay_unreadable.py "$1"
