# Tests that no caller gets an event of a stream twice, whoever asked its target to
# go on.
python3 tests/relay_order.py "$1" asked && python3 tests/relay_order.py "$1" run
