# Tests that connections which their clients end leave no memory and no descriptor
# behind, at each HTTP listener, and that they stay open between requests.
python3 tests/uncontrolled_short.py "$1"
