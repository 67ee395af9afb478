# Tests that a target whose leave was acknowledged gets no more requests while the
# member that acknowledged it is paused, killed, or silent towards others.
python3 tests/relay_departs_cut.py "$1" 45 "says nothing to relays" "all silent" \
  "paused" "silent, then killed"
