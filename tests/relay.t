# Tests the relay and control members as processes: while targets fail or send
# bytes that belong to no request, and
# while control members change, stop and are replaced.
for test in calls stray control; do
  python3 tests/relay_$test.py "$1" || exit 1
done
