# Tests that resends do not exceed the retry budget after a pause of the traffic.
python3 tests/relay_budget.py "$1" check_traffic_pauses
