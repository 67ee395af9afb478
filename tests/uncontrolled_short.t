# Tests that connections which their clients end leave no memory and no descriptor
# behind, at each HTTP listener; for the entry's answers see uncontrolled_idle.t.
python3 tests/uncontrolled_short.py "$1" entry-head operator-head operator-answer \
  admin-head admin-answer public-head public-answer
