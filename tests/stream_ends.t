# Tests that a stream which its target breaks off does not reach the caller as
# complete: through the relay, and through an entry and an agent.
python3 tests/relay_streams.py "$1" ends && python3 tests/entry_streams.py "$1"
