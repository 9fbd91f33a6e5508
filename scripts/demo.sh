#!/usr/bin/env bash
# Starts the embedded default on loopback: stand-ins, three entry daemons, a pool of groups over two fabric domains and a
# plain service. Sends a streaming request and a once-only booking, drains and restores a failure domain, prints what
# happened and stops the processes that it started: scripts/demo.sh [BUILD].
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(cd "${1:-build}" && pwd)
work=$(mktemp -d)
pids=()
token=demo-caller-token
operator_token=demo-operator-token

stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    sleep 0.5
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap stop_all EXIT

fail() {
    echo "demo: $1" >&2
    tail -n 20 "$work"/*.log >&2 || true
    exit 1
}

# start NAME PROGRAM ARGUMENT...: runs a program and waits until it listens.
start() {
    local name=$1 program=$2
    shift 2
    "$build/$program" "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
    disown
    for _ in $(seq 100); do
        grep -q listening "$work/$name.out" 2>/dev/null && return
        sleep 0.05
    done
    fail "$name does not listen"
}
address_of() { sed -n 's/^listening \([0-9.:]*\).*/\1/p' "$work/$1.out" | head -1; }
field_of() { sed -n "s/^listening .*$2=\([0-9.:]*\).*/\1/p" "$work/$1.out"; }

# until_true SECONDS COMMAND...: repeats a check until it holds.
until_true() {
    local end=$((SECONDS + $1))
    shift
    until "$@"; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.2
    done
}

status_of() { curl -s -m 5 -H "Authorization: Bearer $operator_token" "http://$(field_of "$1" operator)/operator/status"; }

echo "== starting stand-ins and three entry daemons"
start kv rml-standin-kv
start weights rml-standin-weights --concurrent-loads 8 --load-ms 200
start service rml-standin-service --name workshop
start engines-a rml-standin-engine --instances a1,a2,a3,a4 --fenced --weights "$(address_of weights)" --step-ms 10
start engines-b rml-standin-engine --instances b1,b2,b3,b4 --weights "$(address_of weights)" --step-ms 10
start instances rml-standin-instances --lag-ms 0

engine_objects() {
    local fabric=$1 log=$2 fenced=$3 prefix=$4 number=0
    # One line per engine, in the order of --instances.
    for address in $(sed -n 's/^listening \([0-9.:]*\).*/\1/p' "$work/$log.out"); do
        number=$((number + 1))
        echo "{\"kind\":\"engine\",\"instance\":\"$prefix$number\",\"address\":\"$address\",\"fabric_domain\":\"$fabric\",\"fenced_orders\":$fenced},"
    done
}
digest=$(printf %s "$token" | sha256sum | cut -d' ' -f1)
cat >"$work/objects.json" <<JSON
{"objects": [
  {"kind":"region","name":"hu-central"},
  {"kind":"failure_domain","name":"budapest-a","region":"hu-central","state":"in_service"},
  {"kind":"failure_domain","name":"budapest-b","region":"hu-central","state":"in_service"},
  {"kind":"fabric_domain","name":"fabric-a","failure_domain":"budapest-a"},
  {"kind":"fabric_domain","name":"fabric-b","failure_domain":"budapest-b"},
  $(engine_objects fabric-a engines-a true a)
  $(engine_objects fabric-b engines-b false b)
  {"kind":"model","name":"planner","version":"1","weights_gib":40,"group_size":2},
  {"kind":"model_pool","name":"assistant","model":"planner","groups":4,
   "failure_domains":["budapest-a","budapest-b"],"full_slots":8,"ramp_step_ms":1000},
  {"kind":"office_service","name":"workshop","addresses":["$(address_of service)"],"once_only_paths":["/bookings"]},
  {"kind":"account","name":"branch","token_sha256":"$digest","requests_per_second":100,
   "pools":["assistant"],"services":["workshop"]},
  {"kind":"objective","name":"assistant-answered","pool":"assistant","measure":"answered","target_share":0.99,"window_s":3600},
  {"kind":"objective","name":"assistant-first-token","pool":"assistant","measure":"first_token","threshold_ms":560,
   "target_share":0.95,"window_s":3600},
  {"kind":"entry_policy","max_daemons":8,"address_lifetime_ms":2000}
]}
JSON

for i in 1 2 3; do
    domain=budapest-$([ "$i" = 1 ] && echo a || echo b)
    cat >"$work/entry-$i.json" <<JSON
{
  "daemon": "entry-$i", "region": "hu-central", "failure_domain": "$domain",
  "listen": {"caller": "127.0.0.1:0", "peer": "127.0.0.1:0", "operator": "127.0.0.1:0"},
  "platform": {"store": "$(address_of kv)", "instances": "$(address_of instances)", "weights": "$(address_of weights)"},
  "peer_secret": "demo-peer-secret", "operator_token": "$operator_token", "workers": 2
}
JSON
    start "entry-$i" rml-entryd --settings "$work/entry-$i.json"
done
entries=$(for i in 1 2 3; do
    echo "{\"instance\":\"entry-$i\",\"kind\":\"entry\",\"state\":\"live\",\"incarnation\":1,\"peer_address\":\"$(field_of "entry-$i" peer)\"}"
done | paste -sd,)
curl -s -X PUT -d "{\"instances\":[$entries]}" "http://$(address_of instances)/v1/instances" >/dev/null

echo "== publishing the object set"
"$build/rml-ctl" publish "$work/objects.json" --store "$(address_of kv)" --token "$operator_token" \
    --entry "$(field_of entry-1 operator)" --entry "$(field_of entry-2 operator)" --entry "$(field_of entry-3 operator)" --wait

all_servable() { [ "$(status_of entry-3 | grep -o '"servable":true' | wc -l)" -eq 4 ]; }
until_true 30 all_servable || { status_of entry-3; fail "the groups do not serve"; }
echo "four groups serve"

echo "== streaming request"
curl -s -m 20 -N -D "$work/head" -H "Authorization: Bearer $token" -H 'content-type: application/json' \
    -d '{"model":"assistant","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"a bird house plan"}]}' \
    "http://$(field_of entry-1 caller)/v1/chat/completions" >"$work/stream"
grep data: "$work/stream"
grep -q 'data: \[DONE\]' "$work/stream" || fail "the stream is not whole"
grep -i 'x-rml-outcome' "$work/head" || true

echo "== booking with one key through two entries"
for i in 1 2; do
    curl -s -m 20 -D - -H "Authorization: Bearer $token" -H 'Idempotency-Key: booking-17' -d '{"machine":"planer"}' \
        "http://$(field_of "entry-$i" caller)/services/workshop/bookings" | grep -iE 'HTTP/|x-rml-outcome|^\{' || true
done
runs=$(curl -s "http://$(address_of service)/stats")
echo "service: $runs"

send_some() {
    local answered=0
    for n in $(seq "$1"); do
        curl -s -m 20 -o "$work/body" -w '%{http_code}\n' -H "Authorization: Bearer $token" -H 'content-type: application/json' \
            -d "{\"model\":\"assistant\",\"max_tokens\":4,\"messages\":[{\"role\":\"user\",\"content\":\"question $n\"}]}" \
            "http://$(field_of "entry-$((n % 3 + 1))" caller)/v1/chat/completions" >"$work/code"
        if [ "$(cat "$work/code")" = 200 ]; then
            answered=$((answered + 1))
        else
            cat "$work/code" "$work/body" && echo
        fi
    done
    echo "$answered of $1 answered"
}
domain_a_requests() {
    local sum=0 value
    for address in $(sed -n 's/^listening \([0-9.:]*\).*/\1/p' "$work/engines-a.out"); do
        value=$(curl -s "http://$address/stats" | grep -o '"started":[0-9]*' | head -1 | cut -d: -f2)
        sum=$((sum + ${value:-0}))
    done
    echo "$sum"
}

echo "== draining budapest-a"
"$build/rml-ctl" drain budapest-a --store "$(address_of kv)" --token "$operator_token" \
    --entry "$(field_of entry-1 operator)" --entry "$(field_of entry-2 operator)" --entry "$(field_of entry-3 operator)" --wait
before=$(domain_a_requests)
send_some 12
after=$(domain_a_requests)
echo "requests that reached budapest-a while drained: $((after - before))"
[ "$before" = "$after" ] || fail "a drained failure domain received work"

echo "== restoring budapest-a"
"$build/rml-ctl" restore budapest-a --store "$(address_of kv)" --token "$operator_token" \
    --entry "$(field_of entry-1 operator)" --entry "$(field_of entry-2 operator)" --entry "$(field_of entry-3 operator)" --wait
send_some 12
echo "requests that reached budapest-a since: $(($(domain_a_requests) - after))"
"$build/rml-ctl" status --token "$operator_token" --entry "$(field_of entry-1 operator)" --entry "$(field_of entry-2 operator)" \
    --entry "$(field_of entry-3 operator)" || true
echo "== service-level burn"
"$build/rml-burn" --token "$operator_token" --entry "$(field_of entry-1 operator)" --entry "$(field_of entry-2 operator)" \
    --entry "$(field_of entry-3 operator)"
echo "== done"
