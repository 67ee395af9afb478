#!/bin/sh
# Bookings at real processes: some processes are killed, some bookings kill
# their target, links are cut.
for test in kill poison cut; do
  python3 tests/once_$test.py "$1" || exit 1
done
