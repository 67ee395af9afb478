# Checks each tests/regress/doc-*.in with quetzalgate and each settings-*.in with
# quetzalgated. The output and exit code must equal those in the .out file.
b=$(cd "$1" && pwd)
cd tests/regress || exit 1
got=$(mktemp)
trap 'rm -f "$got"' EXIT
rc=0
for in in *.in; do
  case $in in
    doc-*) "$b/quetzalgate" check "$in" >"$got" 2>&1 ;;
    *) "$b/quetzalgated" --check "$in" >"$got" 2>&1 ;;
  esac
  echo "exit $?" >>"$got"
  diff -u "${in%.in}.out" "$got" || rc=1
done
exit $rc
