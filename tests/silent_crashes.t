# Tests that a request under which targets fall silent stops reaching them.
python3 tests/relay_poison.py "$1" silent
