# Tests that changes and leaves of targets are in force in time although open
# connections between the processes of the fleet went silent.
python3 tests/relay_silent.py "$1"
