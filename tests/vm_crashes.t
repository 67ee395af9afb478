# Tests that a request that ends targets together with their agents is found, and that
# the end of agents alone doesn't quarantine sound requests.
python3 tests/once_poison_vm.py "$1" && python3 tests/once_agents_killed.py "$1"
