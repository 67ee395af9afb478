# Tests that connections to the ports for peers that do not complete their hello do
# not make a process exceed its memory.
python3 tests/uncontrolled_relay.py "$1" relay-peers &&
python3 tests/uncontrolled_relay.py "$1" control-peers
