# Tests that requests beside planned work are answered: relays that stop and
# return, reloads, control members that stop, changes of the manifest.
python3 tests/relay_planned.py "$1" 45 6
