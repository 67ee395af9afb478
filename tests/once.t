#!/bin/sh
# Bookings at real processes: some processes are killed or shut down, some
# bookings kill their target, links are cut, the control members are
# gone.
for test in kill poison cut drain cutoff; do
  python3 tests/once_$test.py "$1" || exit 1
done
