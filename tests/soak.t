# Short soak runs with the seeds of tests/soak.seeds: a fixed one, and each that
# has found a fault. make soak uses new random seeds.
for seed in $(sed 's/#.*//' tests/soak.seeds); do
  python3 tests/soak.py "$1" --seed "$seed" --seconds 8 || exit 1
done
