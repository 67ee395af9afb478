# Short soak runs with the seeds and options of tests/soak.seeds: fixed ones, and
# each that has found a fault. make soak uses new random seeds.
sed 's/#.*//; /^ *$/d' tests/soak.seeds | while read -r seed options; do
  python3 tests/soak.py "$1" --seed "$seed" --seconds 8 $options </dev/null \
    || exit 1
done
