# Racing operators over real members that are killed: the history agrees.
python3 tests/race.py "$1" "${RACE_SEED:-1}" "${RACE_SECONDS:-10}"
