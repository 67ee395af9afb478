# Tests for a short time, seeded, that callers get streams whole, once and in order
# while relays, entries, agents, links and targets end, relays are cut off, and
# versions of the targets replace each other. By hand: more seeds, longer.
python3 tests/relay_stream_hunt.py "$1" relays links return --seed 4801 --seconds 8 &&
  python3 tests/relay_stream_hunt.py "$1" relays return old --seed 4802 --seconds 8 &&
  python3 tests/relay_stream_hunt.py "$1" cuts releases --seed 6103 --seconds 10 &&
  python3 tests/entry_stream_hunt.py "$1" 4803 10
