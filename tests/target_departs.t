# Tests that a target whose leave control acknowledged gets no more requests
# after the member that acknowledged it has ended.
python3 tests/relay_departs.py "$1"
