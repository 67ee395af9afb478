# Tests where messages end, and that a peer that reads slowly is not cut off.
python3 tests/relay_http.py "$1"
