# Tests that no caller gets an event of a stream twice through an entry and an agent.
python3 tests/entry_order.py "$1"
