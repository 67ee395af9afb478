# Tests that connections to an entry which their clients end after an answer leave no
# memory and no descriptor behind.
python3 tests/uncontrolled_short.py "$1" entry-answer
