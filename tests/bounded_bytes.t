# Tests that the bytes that callers and targets send do not exceed the memory of a
# relay, and that nothing that was passed on is lost for it.
python3 tests/relay_bytes.py "$1"
