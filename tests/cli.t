# The command-line tool against one process with all roles: a change, two
# conflicting changes, a data centre taken out and back in, an unreachable
# member, and a retried change id, which gets the first answer again.
b=$(cd "$1" && pwd)
root=$(pwd)
dir=$(mktemp -d)
pid=
trap '[ -z "$pid" ] || { kill "$pid"; wait "$pid"; } 2>/dev/null
      rm -rf "$dir"' EXIT
cd "$dir" || exit 1

port ()
{
  python3 "$root/tests/free_port.py" "$dir/ports"
}
sed -e "s/:8080/:$(port)/; s/:8081/:$(port)/; s/:8082/:$(port)/" \
  -e "s/:8083/:$(port)/; s/:8084/:$(port)/; s/:900[12]/:$(port)/" \
  -e "s#examples/#$root/examples/#" "$root/examples/standalone.ini" >s.ini
address=$(sed -n 's/^operator_listen=//p' s.ini)
export QUETZALGATE_CONTROL="127.0.0.1:1;$address" QUETZALGATE_KEY=operator-key
q="$b/quetzalgate"
rc=0

expect () # EXIT-CODE TEXT COMMAND...
{
  want=$1 text=$2
  shift 2
  "$@" >out 2>&1
  got=$?
  if [ "$got" -ne "$want" ] || { [ -n "$text" ] && ! grep -q -- "$text" out; }; then
    echo "$*: exit $got, expected $want and \"$text\":"
    cat out
    rc=1
  fi
}

"$b/quetzalgated" --standalone s.ini >log 2>&1 &
pid=$!
expect 0 'revision 1, in force' $q status --timeout 20
expect 0 '' $q get --output d.ini
expect 2 'has no base' $q apply "$root/examples/document.ini"
expect 0 'nothing changes' $q apply d.ini
sed 's/^weight=1$/weight=5/' d.ini >a.ini
sed 's/^weight=2$/weight=6/' d.ini >b.ini
expect 0 '^- weight=1' $q diff a.ini
expect 0 'accepted: revision 2' $q apply a.ini --dry-run
expect 0 'accepted: revision 2' $q apply a.ini --change-id first --wait 20
expect 0 'accepted: revision 2' $q apply a.ini --change-id first
expect 5 'by pat' $q apply b.ini
expect 0 'accepted: revision 3' $q dc out local --wait 20
expect 0 'local.*out' $q dc list
expect 0 'accepted: revision 4' $q dc in local
expect 4 'is not in the document' $q dc out nowhere
printf '[workspace new]\nweight=3\n' >part.ini
expect 0 'revision 5' $q apply part.ini --partial --base 4
expect 0 'revision 6' $q apply part.ini --partial --base 5 --remove 'grant hall-7'
expect 0 'revision 7' $q target drain drape-1
expect 0 'drape-1.*drains' $q target list
expect 0 'workspace new' $q diff --from 4 --to 5
expect 0 '"revision":3' $q history --json
expect 0 'leader' $q member list
expect 0 '' $q quarantine list
expect 0 'in force on' $q top --once
expect 2 'takes no --base' $q status --base 1
expect 3 'bearer token' env QUETZALGATE_KEY=other "$q" status
expect 6 'unavailable' $q status --control 127.0.0.1:1 --timeout 1
sum=$(printf new-key | sha256sum | cut -d' ' -f1)
printf '[operator new]\nteams=dcs\nkey_sha256=%s\n' "$sum" >>s.ini
kill -HUP "$pid"
expect 0 'leader' env QUETZALGATE_KEY=new-key "$q" status
expect 3 'belongs to the team' env QUETZALGATE_KEY=new-key "$q" target drain bookings-1
kill -9 "$pid"
wait "$pid" 2>/dev/null
"$b/quetzalgated" --standalone s.ini >>log 2>&1 &
pid=$!
expect 0 'revision 7, in force' $q status --timeout 20
expect 0 'accepted: revision 2' $q apply a.ini --change-id first
[ $rc -eq 0 ] || cat log
exit $rc
