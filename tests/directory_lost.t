# Tests that a relay gets the list of all relays although the connection on which a new
# leader sent it fell silent.
python3 tests/relay_directory.py "$1"
