# Tests that a request whose body arrives slowly is decided by the manifest that is
# in force when it is complete.
python3 tests/relay_slow_bodies.py "$1"
