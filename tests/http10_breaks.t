# Tests that an answer which is broken off does not end like a whole one for
# callers that speak HTTP/1.0, at a relay and at an entry.
python3 tests/relay_http10.py "$1" && python3 tests/entry_http10.py "$1"
