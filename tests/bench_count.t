# The false refusals that the benchmark counts are those of requests that ran.
python3 tests/bench_count.py "$1"
