# Tests that a stream does not go on with other weights, within one answer or over
# the tries of its caller.
python3 tests/relay_weights.py "$1" &&
  python3 tests/relay_weights_taken_up.py "$1" honours &&
  python3 tests/relay_weights_taken_up.py "$1" ignores
