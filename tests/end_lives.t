# Tests what the end of an answer without a length proves where a target ends while its
# check waits, and that whole answers end as complete behind long ones.
python3 tests/relay_end_lives.py "$1"
