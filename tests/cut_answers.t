# Tests that an answer without a length, whose target ends before it has sent the
# whole, does not reach the caller as complete: through the relay, and through an
# entry and an agent.
python3 tests/relay_cut_answers.py "$1" && python3 tests/relay_left_ends.py "$1" \
  && python3 tests/entry_cut_answers.py "$1"
