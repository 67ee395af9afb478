#!/bin/sh
# Bookings at real processes: some are killed, some bookings kill their target.
python3 tests/once_kill.py "$1" && python3 tests/once_poison.py "$1"
