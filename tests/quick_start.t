# Tests that what a newcomer runs first works: make demo failed from 1e716ce on, as its
# request had a line break within a JSON string.
python3 tests/quick_start.py
