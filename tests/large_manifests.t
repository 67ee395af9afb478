# Tests that the check of large manifests does not hold up a leader's lease.
python3 tests/relay_large.py "$1"
