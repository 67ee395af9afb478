# Tests that acknowledged changes survive lost disks and replaced members, and
# that relays follow the members that replaced all they knew.
python3 tests/control_disks.py "$1"
