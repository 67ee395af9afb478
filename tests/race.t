# Checks the history after concurrent changes while control members are killed.
python3 tests/race.py "$1" "${RACE_SEED:-1}" "${RACE_SECONDS:-10}"
