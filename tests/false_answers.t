# Tests that second copies of refusals, refusals of requests that may have run,
# errors in the place of the rest of a stream, and heads that end early reach no
# caller as an answer to its request.
python3 tests/relay_false_answers.py "$1"
