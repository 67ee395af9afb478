# Runs three control members and an entry as processes and checks that no
# accepted change is lost: kill -9, wiped disks, a second process on one data
# folder, concurrent and repeated changes of operators.
set -u
B=$1
T=$(mktemp -d)
base=$((21000 + ($$ % 250) * 40)) # below the range of outgoing connections
key=ops-key
export QUETZALGATE_KEY=$key
pids=
trap 'for p in $pids; do kill -9 $p 2>/dev/null; done; rm -rf "$T"' EXIT

die () { echo "control.t: $1"; tail -n 5 "$T"/*.log; exit 1; }

common_settings () # NAME ROLES
{
  cat <<X
[daemon]
name=$1
roles=$2
dc=perth-a
region=west
fleet_key_file=$T/key
[peers]
control=c1@127.0.0.1:$((base + 1));c2@127.0.0.1:$((base + 2));c3@127.0.0.1:$((base + 3))
X
}

start ()
{
  "$B"/quetzalgated "$T/$1.ini" >>"$T/$1.log" 2>&1 &
  eval "pid_$1=$!"
  pids="$pids $!"
}

kill_daemon () { eval "kill -9 \$pid_$1; wait \$pid_$1" 2>/dev/null; }

# Waits up to 20 s until a command succeeds.
until_true ()
{
  end=$(($(date +%s) + 20))
  until "$@" >/dev/null 2>&1; do
    [ "$(date +%s)" -lt $end ] || return 1
    sleep 0.1
  done
}

q () { "$B"/quetzalgate "$@"; }
voters () { [ "$(q member list --timeout 2 | grep -cE 'voter|leader')" -eq "$1" ]; }
in_force () { q status --timeout 2 | grep -q "in force on $1 of $1 "; }
leader () { q member list | awk '/leader/ { print $1 }'; }

echo 0123456789abcdef0123456789abcdef >"$T/key"
hash=$(printf %s $key | sha256sum | cut -d' ' -f1)
printf '[dc perth-a]\nregion=west\nstate=in\n' >"$T/doc.ini"
export QUETZALGATE_CONTROL=
for i in 1 2 3; do
  QUETZALGATE_CONTROL="$QUETZALGATE_CONTROL${QUETZALGATE_CONTROL:+;}127.0.0.1:$((base + 10 + i))"
  { common_settings c$i control
    printf '[control]\npeer_listen=127.0.0.1:%d\n' $((base + i))
    printf 'operator_listen=127.0.0.1:%d\n' $((base + 10 + i))
    printf 'data_folder=%s\ndocument=%s\nbootstrap=yes\n' "$T/d$i" "$T/doc.ini"
    printf '[operator ops]\nkey_sha256=%s\nteams=workspaces;dcs;services\n' "$hash"
  } >"$T/c$i.ini"
done
{ common_settings e1 entry
  printf '[entry]\nlisten=127.0.0.1:%d\n' $((base + 20))
  printf 'peer_listen=127.0.0.1:%d\n' $((base + 21))
} >"$T/e1.ini"

for d in c1 c2 c3 e1; do start $d; done
until_true voters 3 || die "three bootstrapping members did not form one fleet"
until_true in_force 1 || die "the first document is not in force"

"$B"/quetzalgated "$T/c1.ini" >"$T/second.log" 2>&1 \
  && die "a second process started on the same data folder"
grep -q 'another process uses the data folder' "$T/second.log" \
  || die "the second process did not log why it stopped"

# Of concurrent changes on one base a single one is accepted. A repeated change
# gets its first answer.
q dc out perth-a --change-id once >"$T/a" || die "dc out"
q dc out perth-a --change-id once >"$T/b" || die "dc out, repeated"
cmp -s "$T/a" "$T/b" || die "a repeated change got another answer"
for i in 1 2 3 4; do
  printf '[dc perth-a]\nregion=west\nstate=in\n[dc x%d]\nregion=west\n' $i >"$T/doc$i.ini"
  (q apply "$T/doc$i.ini" --base 2 >"$T/race$i" 2>&1; echo $? >"$T/rc$i") &
done
for i in 1 2 3 4; do until_true test -s "$T/rc$i" || die "a concurrent apply did not end"; done
[ "$(cat "$T"/rc? | grep -c '^0$')" -eq 1 ] || die "not exactly one concurrent apply was accepted"

# Kills the leader five times; no accepted change is lost.
revision=3
for round in 1 2 3 4 5; do
  l=$(leader)
  kill_daemon "$l"
  q dc out perth-a --timeout 20 >/dev/null || die "no change was accepted after $l was killed"
  q dc in perth-a --timeout 20 >/dev/null || die "no second change was accepted after $l was killed"
  start "$l"
  revision=$((revision + 2))
  until_true voters 3 || die "$l did not rejoin"
done
q status | grep -q "revision $revision," || die "a change was lost after the kills of the leader"
until_true in_force 1 || die "the entry does not have the newest revision"

# Kills all members at once.
for d in c1 c2 c3; do kill_daemon $d; done
for d in c1 c2 c3; do start $d; done
until_true in_force 1 || die "the newest revision is not in force after a restart of all members"
q status | grep -q "revision $revision," || die "a change was lost in a restart of all members"

# Wipes one disk, and a second one as soon as the first member is a voter again.
for d in 1 2; do
  kill_daemon c$d
  rm -rf "$T/d$d"
  start c$d
  until_true test -e "$T/d$d/lock"
  sleep 1
  until_true voters 3 || die "c$d did not rejoin with an empty disk"
done
q status | grep -q "revision $revision," || die "a change was lost with the wiped disks"
