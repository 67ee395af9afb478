# Tests that a request that ends targets together with their agents is found.
python3 tests/once_poison_vm.py "$1"
