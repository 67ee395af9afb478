# Tests that requests with a prompt part that crashes targets stop reaching them.
python3 tests/relay_poison.py "$1" part
