# Tests that requests which targets preempt in the middle of their answers, and read
# again, reach callers whole, once and in order, while targets are killed.
python3 tests/relay_preempted.py "$1" --seed 5101 --seconds 8
