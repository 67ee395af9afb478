# Tests that streams which callers take up at once do not hold events of two
# versions of the targets' software.
python3 tests/relay_taken_up.py "$1"
