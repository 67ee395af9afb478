# Tests that a target which turns a request away with a Retry-After gets no more
# requests from that relay for so long.
python3 tests/relay_notice.py "$1" pause
