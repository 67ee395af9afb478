# Tests that bodies of tiny chunks, which wait to be parsed, do not make a relay
# exceed its memory.
python3 tests/uncontrolled_relay.py "$1" relay-chunks
