# Tests that a cut answer without a length does not end as complete if its target took
# the check and never answered it, and that a whole one does if the target closed the
# connection for the check.
sh tests/each_check.sh tests/relay_end_lives.py "$1" check_target_ends_slowly \
  check_long_answer_of_a_target_that_closes_idle_connections &&
  python3 tests/relay_end_lives.py "$1" check_target_ends_with_check_in_its_queue
