# Tests that streams which callers take up do not hold events of two versions of
# the targets' software, or of two services, whenever and wherever they return.
python3 tests/relay_taken_up.py "$1" release &&
  python3 tests/relay_taken_up.py "$1" services &&
  python3 tests/relay_taken_up.py "$1" silent
