# Tests that requests sent ahead to the readiness address of a relay do not make it
# exceed its memory.
python3 tests/uncontrolled_relay.py "$1" relay-ready
