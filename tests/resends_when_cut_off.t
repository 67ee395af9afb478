# Tests that a relay that control no longer lists does not exceed the retry budget.
python3 tests/relay_budget.py "$1" check_relay_cut_off_from_control --proxied \
  --extra 58 --callers 2
