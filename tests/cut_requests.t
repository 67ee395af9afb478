# Tests that an entry runs whole request bodies in chunks, and does not run those
# that end before their last chunk; that callers of HTTP/1.0 see a break.
python3 tests/entry_cut_bodies.py "$1" && python3 tests/entry_cut_requests.py "$1"
