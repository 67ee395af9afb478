# Tests that streams which callers take up at an entry do not hold events of two
# versions of the targets' software.
for state in calm entries agents targets; do
  python3 tests/entry_taken_up.py "$1" $state || exit 1
done
