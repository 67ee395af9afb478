# Tests that a target which states a limit of requests per second gets no more
# from all relays together, nor from its agent.
python3 tests/relay_notice.py "$1" limit && python3 tests/entry_notice.py "$1"
