# Tests that racing changes of the manifest are in force in time, read older
# nowhere, and that no invalid one is, beside ended and silent processes.
python3 tests/config_race.py "$1" 45 25
