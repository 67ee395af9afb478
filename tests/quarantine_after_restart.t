# Tests that a relay that starts sends no request that is quarantined.
python3 tests/relay_poison.py "$1" start
