# Tests that a whole answer without a length ends as complete, also where its target
# listens no more.
python3 tests/relay_end_evidence.py "$1" check_draining_target
