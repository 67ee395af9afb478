# Tests that a whole answer without a length isn't broken off where its target leaves
# and ends right behind it (six of six were), and that no cut one looks complete then.
sh tests/each_check.sh tests/relay_end_leaves.py "$1" check_whole \
  check_whole_unchecked check_cut check_announced_end_is_no_crash
