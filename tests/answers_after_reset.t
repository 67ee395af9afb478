# Tests that answers are not lost, nor late, when connections between entries and agents
# are reset at one end or go silent, and that nothing starts late after dc out when
# connections to control do.
python3 tests/entry_silent.py "$1"
