#!/usr/bin/env bash
# Measures the control cost of idle daemons: scripts/measure-control.sh [BUILD] [COUNTS].
# For each count of rml-entryd processes (default "8 24 60") it starts the stand-ins and the daemons on loopback, publishes
# an object set, waits until the daemons know each other and the groups serve, samples counters twice and prints one table
# row. Further settings come from the environment:
#   MEASURE_WINDOW   seconds between the samples (default 20)
#   MEASURE_CHANGE   when set, also times a drain until it is in force at each daemon
#   MEASURE_ENGINES  engines, a multiple of 16 (default 16); groups of 4 in 4 fabric domains
# The operators' status calls of the two samples are not counted among peer bytes or store calls. Every wait is bounded.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(cd "${1:-build}" && pwd)
counts=${2:-8 24 60}
window=${MEASURE_WINDOW:-20}
engines=${MEASURE_ENGINES:-16}
operator_token=measure-operator-token
settle_seconds=40 # limit of each wait for the daemons
work=$(mktemp -d)
pids=()

stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    # A leaving daemon serves on for its address lifetime, so the rest is ended after a short wait.
    sleep 1
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    pids=()
}
finish() {
    stop_all
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 1' INT TERM

fail() {
    echo "measure-control: $1" >&2
    exit 1
}

# launch NAME PROGRAM ARGUMENT...: runs a program in the background; its process id is kept for stop_all.
launch() {
    local name=$1 program=$2
    shift 2
    "$build/$program" "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
    echo $! >"$work/$name.pid"
    disown
}
await() {
    for _ in $(seq 200); do
        grep -q listening "$work/$1.out" 2>/dev/null && return
        sleep 0.05
    done
    fail "$1 does not listen: $(tail -n 1 "$work/$1.log")"
}
address_of() { sed -n 's/^listening \([0-9.:]*\).*/\1/p' "$work/$1.out" | head -1; }
field_of() { sed -n "s/^listening .*$2=\([0-9.:]*\).*/\1/p" "$work/$1.out"; }
status_of() { curl -s -m 5 -H "Authorization: Bearer $operator_token" "http://$(field_of "$1" operator)/operator/status"; }
counter_of() { grep -o "\"$1\":[0-9]*" | head -1 | cut -d: -f2; }

# sample FILE COUNT: one line per daemon: time in ms, bytes, frames, processor ticks, resident KiB, links, items.
sample() {
    local file=$1 count=$2 i document pid
    : >"$file"
    for i in $(seq "$count"); do
        document=$(status_of "entry-$i") || fail "entry-$i gives no status"
        pid=$(cat "$work/entry-$i.pid")
        echo "$(date +%s%3N)" \
            "$(($(counter_of bytes_sent <<<"$document") + $(counter_of bytes_received <<<"$document")))" \
            "$(($(counter_of frames_sent <<<"$document") + $(counter_of frames_received <<<"$document")))" \
            "$(sed 's/.*) //' "/proc/$pid/stat" | awk '{print $12 + $13}')" \
            "$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")" \
            "$(counter_of open <<<"$document")" "$(counter_of items <<<"$document")" >>"$file"
    done
    curl -s -m 5 "http://$(address_of kv)/stats" >"$file.store"
    date +%s%3N >"$file.time"
}

write_objects() {
    local per_fabric=$((engines / 4)) number=0 fabric address
    {
        echo '{"objects": ['
        echo '{"kind":"region","name":"r"},'
        for domain in a b; do
            echo "{\"kind\":\"failure_domain\",\"name\":\"$domain\",\"region\":\"r\",\"state\":\"in_service\"},"
            for n in 1 2; do echo "{\"kind\":\"fabric_domain\",\"name\":\"$domain$n\",\"failure_domain\":\"$domain\"},"; done
        done
        for address in $(sed -n 's/^listening \([0-9.:]*\).*/\1/p' "$work/engines.out"); do
            fabric=$((number / per_fabric))
            number=$((number + 1))
            echo "{\"kind\":\"engine\",\"instance\":\"e$number\",\"address\":\"$address\",\"fabric_domain\":\"$(
                echo a1 a2 b1 b2 | cut -d' ' -f$((fabric + 1)))\",\"fenced_orders\":true},"
        done
        echo '{"kind":"model","name":"m","version":"1","weights_gib":40,"group_size":4},'
        echo "{\"kind\":\"model_pool\",\"name\":\"p\",\"model\":\"m\",\"groups\":$((engines / 4)),\"failure_domains\":[\"a\",\"b\"]},"
        echo '{"kind":"entry_policy","max_daemons":390,"address_lifetime_ms":2000}'
        echo ']}'
    } >"$work/objects.json"
}

# Daemons that know all others, and groups that serve at the last one.
settled() {
    local count=$1 i document
    document=$(status_of "entry-$count")
    [ "$(grep -o '"servable":true' <<<"$document" | wc -l)" -eq $((engines / 4)) ] || return 1
    for i in $(seq "$count"); do
        [ "$(status_of "entry-$i" | grep -o '"state":"alive"' | wc -l)" -eq "$count" ] || return 1
    done
}

# Drains a domain through the store alone and takes from the daemons' logs when the new generation came into force.
# Handing the set to daemons directly is left out, since it would hide the time of distribution.
measure_change() {
    local count=$1 begin
    begin=$(date +%s%3N)
    timeout 10 "$build/rml-ctl" drain a --store "$(address_of kv)" --token "$operator_token" >"$work/change.txt" 2>&1 ||
        { echo "change: drain failed: $(tail -n 1 "$work/change.txt")" && return; }
    sleep 5 # longer than the 4 s that the design allows
    grep -h '"configuration in force"' "$work"/entry-*.log | grep '"generation":2[,}]' |
        grep -o '"time_ms":[0-9]*' | cut -d: -f2 | sort -n |
        awk -v begin="$begin" -v count="$count" '
            NR == 1 { first = $1 }
            { last = $1 }
            END { printf "change: in force at %d of %d daemons, first after %d ms, last after %d ms\n", NR, count, first - begin, last - begin }'
}

measure() {
    local count=$1 i end
    rm -f "$work"/*.out "$work"/*.log "$work"/*.pid
    launch kv rml-standin-kv
    launch weights rml-standin-weights --concurrent-loads 64 --load-ms 200
    launch instances rml-standin-instances --lag-ms 0
    for i in kv weights instances; do await "$i"; done
    launch engines rml-standin-engine --instances "$(seq -s, -f 'e%g' "$engines")" --fenced --weights "$(address_of weights)"
    await engines
    write_objects
    for i in $(seq "$count"); do
        cat >"$work/entry-$i.json" <<JSON
{
  "daemon": "entry-$i", "region": "r", "failure_domain": "$([ $((i % 2)) = 0 ] && echo a || echo b)",
  "listen": {"caller": "127.0.0.1:0", "peer": "127.0.0.1:0", "operator": "127.0.0.1:0"},
  "platform": {"store": "$(address_of kv)", "instances": "$(address_of instances)", "weights": "$(address_of weights)"},
  "peer_secret": "measure-peer-secret", "operator_token": "$operator_token", "workers": 1
}
JSON
        launch "entry-$i" rml-entryd --settings "$work/entry-$i.json"
    done
    for i in $(seq "$count"); do await "entry-$i"; done
    for i in $(seq "$count"); do
        echo "{\"instance\":\"entry-$i\",\"kind\":\"entry\",\"state\":\"live\",\"incarnation\":1,\"peer_address\":\"$(field_of "entry-$i" peer)\"}"
    done | paste -sd, | sed 's/.*/{"instances":[&]}/' |
        curl -s -m 5 -X PUT -d @- "http://$(address_of instances)/v1/instances" >/dev/null
    "$build/rml-ctl" publish "$work/objects.json" --store "$(address_of kv)" --token "$operator_token" \
        --entry "$(field_of entry-1 operator)" --wait >"$work/publish.txt" 2>&1 || fail "publish: $(cat "$work/publish.txt")"
    end=$((SECONDS + settle_seconds))
    until settled "$count"; do
        if [ "$SECONDS" -ge "$end" ]; then
            echo "| $count | not settled in $settle_seconds s |"
            stop_all
            return
        fi
        sleep 0.5
    done
    sleep 3 # links that were opened for the start are pruned
    sample "$work/first" "$count"
    sleep "$window" &
    wait $! # a signal ends the run at once
    sample "$work/second" "$count"
    paste -d' ' "$work/first" "$work/second" | awk -v count="$count" -v store="$(
        for kind in reads writes watches; do
            echo $(($(counter_of $kind <"$work/second.store") - $(counter_of $kind <"$work/first.store")))
        done | paste -sd' ')" -v store_ms="$(($(cat "$work/second.time") - $(cat "$work/first.time")))" \
        -v ticks="$(getconf CLK_TCK)" '
        function most(a, b) { return a > b ? a : b }
        {
            s = ($8 - $1) / 1000
            bytes = ($9 - $2) / s; all_bytes += bytes; max_bytes = most(max_bytes, bytes)
            frames = ($10 - $3) / s; all_frames += frames; max_frames = most(max_frames, frames)
            cpu = 100 * ($11 - $4) / ticks / s; all_cpu += cpu; max_cpu = most(max_cpu, cpu)
            rss = $12 / 1024; all_rss += rss; max_rss = most(max_rss, rss)
            links += $13; max_links = most(max_links, $13); items += $14
        }
        END {
            split(store, calls, " ")
            s = store_ms / 1000
            printf "| %d | %.0f | %.0f | %.1f | %.1f | %.2f | %.2f | %.1f | %.1f | %.1f | %d | %.0f | %.1f | %.1f | %.1f |\n",
                count, all_bytes / NR, max_bytes, all_frames / NR, max_frames, all_cpu / NR, max_cpu, all_rss / NR,
                max_rss, links / NR, max_links, items / NR, calls[1] / s, calls[2] / s, calls[3] / s
        }'
    if [ -n "${MEASURE_CHANGE:-}" ]; then measure_change "$count"; fi
    stop_all
}

echo "engines $engines, window $window s, commit $(git rev-parse --short HEAD 2>/dev/null || echo unknown)"
echo "| daemons | bytes/s mean | max | frames/s mean | max | % of a core mean | max | MiB mean | max | links mean | max |" \
    "items | store reads/s | writes/s | watches/s |"
echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
for count in $counts; do measure "$count"; done
