#!/bin/sh
# Starts stand-in (simulated) targets and one quetzalgated --standalone with the
# example settings, sends requests, prints and checks the answers, and stops all.
#   usage: sh bench/demo.sh BUILD-FOLDER [PORT-OFFSET]
set -u
build=${1:-build}
offset=${2:-0}
scratch=$(mktemp -d)
pids=
failed=0
checks=0

stop_all () {
  for pid in $pids; do kill "$pid" 2>/dev/null; done
  for pid in $pids; do wait "$pid" 2>/dev/null; done
  [ -n "${KEEP:-}" ] && cp -r "$scratch" "$KEEP"; rm -rf "$scratch"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

fail () {
  echo "FAILED: $1"
  failed=1
}

# expect_equal WHAT ACTUAL EXPECTED
expect_equal () {
  checks=$((checks + 1))
  if [ "$2" = "$3" ] && [ -n "$2" ]; then echo "  ok: $1"; else fail "$1"; fi
}

show () { # the first lines of an answer, cut to the width of a terminal
  sed -e '/^$/d' -e 's/^\(.\{90\}\).*/\1.../' -e 's/^/    /' "$1" | sed -n 1,3p
}

wait_for () { # wait_for URL
  tries=0
  until curl -sf -m 1 -o "$scratch/health" "$1"; do
    tries=$((tries + 1))
    if [ $tries -gt 100 ]; then
      fail "no answer from $1"
      cat "$scratch/daemon.log"
      exit 1
    fi
    sleep 0.1
  done
}

send_chat () { # send_chat URL STREAM
  curl -sN -m 20 "$1/v1/chat/completions" -H "Authorization: Bearer hall-7-key" \
    -H "Content-Type: application/json" -d '{"model":"drape-model","stream":'"$2"',
    "max_tokens":12,"messages":[{"role":"user",
    "content":"tokens=6 How long does a flame-retardant curtain last?"}]}'
}

send_booking () {
  curl -s -m 20 "$entry/services/bookings-app/bookings" \
    -H "Authorization: Bearer hall-7-key" -H "Idempotency-Key: demo-booking-1" \
    -H "Content-Type: application/json" -d '{"venue":"hall-7","day":"2031-05-02"}'
}

model=$((9001 + offset))
plain=$((9002 + offset))
admin=$((8082 + offset))
entry=http://127.0.0.1:$((8080 + offset))
sed -e "s|:9001$|:$model|; s|:9002$|:$plain|; s|:8082$|:$admin|" \
  -e "s|:8080$|:$((8080 + offset))|; s|:8081$|:$((8081 + offset))|" \
  -e "s|:8083$|:$((8083 + offset))|; s|:8084$|:$((8084 + offset))|" \
  -e "s|^data_folder=.*|data_folder=$scratch/data|" \
  -e "s|^document=.*|document=$scratch/document.ini|" \
  examples/standalone.ini >"$scratch/settings.ini"
cp examples/document.ini "$scratch/document.ini"

"$build/standin" --model --name drape-model --port $model --cold-s 1 \
  --journal "$scratch/model.journal" & pids="$pids $!"
"$build/standin" --plain --name bookings-app --port $plain --cold-s 1 \
  --journal "$scratch/plain.journal" & pids="$pids $!"
"$build/quetzalgated" --standalone "$scratch/settings.ini" \
  >"$scratch/daemon.log" 2>&1 & daemon=$!
pids="$daemon $pids"
wait_for http://127.0.0.1:$model/health
wait_for http://127.0.0.1:$plain/health
wait_for http://127.0.0.1:$admin/healthz

for pid in $pids; do
  kill -0 "$pid" 2>/dev/null || { fail "a process did not start"; exit 1; }
done

cat <<'TEXT'
One process with all roles, and two stand-in targets: a model and a booking
service. Each request below goes through the process to a target.

TEXT
echo "== a chat completion"
send_chat $entry false >"$scratch/whole"
show "$scratch/whole"
expect_equal "same answer as directly from the target" \
  "$(cat "$scratch/whole")" "$(send_chat http://127.0.0.1:$model false)"
echo "== the same, streamed"
send_chat $entry true >"$scratch/stream"
show "$scratch/stream"
expect_equal "same stream as directly from the target" \
  "$(cat "$scratch/stream")" "$(send_chat http://127.0.0.1:$model true)"
echo "== a booking with an Idempotency-Key, sent twice"
first=$(send_booking)
again=$(send_booking)
printf '%s\n%s\n' "$first" "$again"
expect_equal "the booking was answered" \
  "$(printf '%s' "$first" | grep -c '"booking":')" 1
expect_equal "the repeated request got the first answer" "$again" "$first"
expect_equal "the booking ran once" \
  "$(grep -c ' start .* demo-booking-1 ' "$scratch/plain.journal")" 1
echo "== a request without a workspace key"
answer=$(curl -s -m 5 $entry/services/bookings-app/stock)
printf '%s\n' "$answer" >"$scratch/refusal"
show "$scratch/refusal"
expect_equal "rejected, and the answer says that it has not run" \
  "$(printf '%s' "$answer" | grep -c '"run":"not-run"')" 1

kill -TERM "$daemon"
wait "$daemon"
expect_equal "the daemon stopped with exit code 0" "$?" 0
if [ $failed -ne 0 ]; then
  echo "== the daemon's log"
  cat "$scratch/daemon.log"
  echo "The demo FAILED."
  exit 1
fi
printf '\nThe demo is complete: %d checks passed. ' $checks
cat <<'TEXT'
What to try next:
  build/quetzalgated --standalone examples/standalone.ini   one process, all roles
  build/quetzalgate --help                                  the command-line tool
  bench/run swan steady                                     three data centres
  docs/BENCH.md                                             the scenarios
TEXT
