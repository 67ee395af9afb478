# Tests that changes and leaves of targets are in force in time although open
# connections between the processes of the fleet went silent.
sh tests/each_check.sh tests/relay_silent.py "$1" \
  check_route_beside_silence_to_control check_leave_beside_silence_to_control \
  check_route_beside_silence_everywhere check_leave_beside_silence_everywhere
