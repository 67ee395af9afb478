# Tests that second copies of refusals, refusals of requests that may have run,
# errors in the place of the rest of a stream, and heads that end early reach no
# caller as an answer to its request: through a relay, and through an agent.
python3 tests/relay_false_answers.py "$1" \
  && python3 tests/entry_false_answers.py "$1"
