# Tests for a short time, seeded, that callers get streams whole, once and in order
# while relays, entries, agents, links and targets end. By hand: more seeds, longer.
python3 tests/relay_stream_hunt.py "$1" relays links return --seed 4801 --seconds 8 &&
  python3 tests/relay_stream_hunt.py "$1" relays return old --seed 4802 --seconds 8 &&
  python3 tests/entry_stream_hunt.py "$1" 4803 10
