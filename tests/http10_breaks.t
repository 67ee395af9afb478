# Tests that an answer which is broken off does not end like a whole one for
# callers that speak HTTP/1.0.
python3 tests/relay_http10.py "$1"
