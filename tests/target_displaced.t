# Tests that heartbeats under a new id displace no target whose own heartbeats
# go on, and that a new life of a target is used soon.
python3 tests/relay_claims.py "$1"
