# A short soak with a seed of its own and one with each seed that found
# something (tests/soak.seeds); make soak draws fresh ones.
for seed in $(sed 's/#.*//' tests/soak.seeds); do
  python3 tests/soak.py "$1" --seed "$seed" --seconds 8 || exit 1
done
