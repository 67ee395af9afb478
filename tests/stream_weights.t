# Tests that a stream does not go on with other weights within one answer.
python3 tests/relay_weights.py "$1"
