# Tests that acknowledged changes survive lost disks and replaced members, and
# that relays follow the members that replaced all they knew.
sh tests/each_check.sh tests/control_disks.py "$1" \
  "45 2 check_all_killed check_disk_lost check_disk_lost_and_all_killed" \
  "45 2 check_replaced check_replaced_and_all_killed" "45 2 check_in_series" \
  "45 2 check_replaced_beside_a_stop"
