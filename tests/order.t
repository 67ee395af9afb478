# Orders to a target that checks fencing numbers: an order carries the revision
# of the document; it is sent again after the target restarts, not sent when
# nothing changed for the target, refused when another agent sent a higher
# number, and accepted again once the revision is higher than that.
b=$(cd "$1" && pwd)
root=$(pwd)
dir=$(mktemp -d)
pids=
trap 'for p in $pids; do kill "$p"; wait "$p"; done 2>/dev/null
      rm -rf "$dir"' EXIT
cd "$dir" || exit 1

port ()
{
  python3 "$root/tests/free_port.py" "$dir/ports"
}
post_target () # PATH [FENCE]
{
  python3 -c 'import sys, urllib.request as u
u.urlopen(u.Request(sys.argv[1], b"{}", {"X-Fence": sys.argv[2]}), timeout=5)
' "http://127.0.0.1:$target$1" "${2:-0}"
}
wait_for_journal () # PATTERN; waits until a line of the journal matches
{
  for i in $(seq 100); do
    grep -qs "$1" journal && return
    sleep 0.1
  done
  echo "no \"$1\" in the journal:"
  cat journal log
  exit 1
}
cli () { "$b/quetzalgate" "$@" --timeout 20 >out 2>&1 || { cat out; exit 1; }; }

target=$(port)
operator=$(port)
cat >s.ini <<INI
[daemon]
name=standalone
roles=entry;agent;control
dc=local
region=local
[entry]
listen=127.0.0.1:$(port)
peer_listen=127.0.0.1:$(port)
[agent drape-1]
service=drape-model
target=127.0.0.1:$target
order_path=/order
fenced=yes
[control]
peer_listen=127.0.0.1:$(port)
operator_listen=127.0.0.1:$operator
data_folder=data
document=$root/examples/document.ini
bootstrap=yes
[operator pat]
key_sha256=$(printf operator-key | sha256sum | cut -d' ' -f1)
teams=workspaces;dcs;services
INI
export QUETZALGATE_CONTROL=127.0.0.1:$operator QUETZALGATE_KEY=operator-key

"$b/standin" --model --port "$target" --journal journal --fence check \
  >standin.log 2>&1 &
pids="$pids $!"
"$b/quetzalgated" --standalone s.ini >log 2>&1 &
pids="$pids $!"

wait_for_journal 'order 1 0 accepted'
cli target version drape-1 2026-11
wait_for_journal 'order 2 1 accepted'
printf '[workspace new]\nweight=3\n' >part.ini
cli apply part.ini --partial --base 2 --wait 10
post_target /switch/restart
wait_for_journal 'order 3 2 accepted'
post_target /order 9
cli target drain drape-1
wait_for_journal 'order 4 9 refused'
for version in a b c d e f; do
  cli target version drape-1 $version
done
wait_for_journal 'order 10 9 accepted'
grep -q ' 813 ORDER_OLD' log || { echo 'no event 813'; exit 1; }
