# Tests that requests sent ahead, whose answers nobody reads, do not make a control
# member exceed its memory.
python3 tests/uncontrolled_relay.py "$1" control-ahead
