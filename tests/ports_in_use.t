# Tests processes whose ports are in use.
python3 tests/ports_in_use.py "$1"
