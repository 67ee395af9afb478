# Tests that no cut answer without a length looks complete where the closes of a
# target's connections arrive late, each by itself.
python3 tests/relay_end_late_close.py "$1"
