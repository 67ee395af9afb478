# The relay and its control members as real processes: what callers get while
# targets misbehave, and while control changes, ends and is replaced.
for test in calls control; do
  python3 tests/relay_$test.py "$1" || exit 1
done
