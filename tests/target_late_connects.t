# Tests that a target whose leave was acknowledged gets no more requests when
# connections to it are established late.
python3 tests/relay_late_connects.py "$1"
