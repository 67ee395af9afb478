# Tests that a whole answer without a length ends as complete on a connection on which
# a long answer was read before.
python3 tests/relay_end_lives.py "$1" check_sound_answer_after_a_long_one
