# Tests that a request that crashes targets stops reaching them.
python3 tests/relay_poison.py "$1" request
