#!/bin/bash
# Randomized fault soak: soak.sh BIN SEED [SECONDS]. Real processes on loopback;
# faults come from outside: a proxy before the store and before each server,
# signals to hosts and servers, a store that misbehaves. What callers saw and
# what servers ran is compared at the end:
#   - a call answered 200 ran, and the body names the server that ran it
#   - a call answered 503 or 429 never ran
#   - an order ran at most once
#   - after the last fault the newest manifest is in force within 5 s everywhere,
#     and every call is served
set -u
SEED=${2:?seed} SECONDS_LONG=${3:-20}
PORT_BASE=${PORT_BASE:-24000}
set -- "$1"
. "$(dirname "$0")/lib_platform.sh"
HOSTS=4 SERVERS=4
RANDOM=$SEED
store_port=$((PORT_BASE + 1))

# The store and the servers are reached through their proxies.
real_platform=$platform_address
proxy() { # NAME LISTEN TARGET
	echo pass >"$WORK/$1.mode"
	start "$1" "$BIN/tool_soak_proxy" "$2" "$3" "$WORK/$1.mode"
}
start_server() { # I INCARNATION
	server_id[$1]=s$1-$2
	start "up$1_$2" "$BIN/tool_upstream" \
		"127.0.0.1:$((servers_port + 50 + $1))" "s$1-$2" 20
	server_pid[$1]=$PID
	wait_http "127.0.0.1:$((servers_port + 50 + $1))" /health
}
announce() { # I STATE
	put_row servers "${server_id[$1]}" '{"service":"desk","address":"127.0.0.1:'$((servers_port + $1))'","zone":"gs-a","version":"v1","slots":6,"state":"'"$2"'","warmup-left-s":0,"sequence":1}'
}
start_entry() { # I
	platform_address=127.0.0.1:$store_port start_follower "$1"
	host_pid[$1]=$PID
}
# Calls to one host, one after the other; every third is an order.
callers() { # I
	local n=0 kind path
	while test ! -e "$WORK/done"; do
		n=$((n + 1)) kind=safe path=/safe/a
		test $((n % 3)) = 0 && kind=order path=/order/a
		printf '%s %s %s\n' "$kind" "h$1-$n" "$(call "$1" $path \
			"h$1-$n" -X "$(test $kind = safe && echo GET ||
			echo POST)" 2>/dev/null | tr '\n' ' ')" >>"$WORK/told$1"
	done
}
manifest() {
	version=$((version + 1))
	put_manifest $version "$(route safe /safe/ safe desk),$(route order \
		/order/ unsafe desk),$(route "v$version" "/v$version/" safe desk)"
}
fault() {
	local i=$((RANDOM % HOSTS)) s=$((RANDOM % SERVERS))
	local modes=(reset silent up down slow) m=${modes[$((RANDOM % 5))]}
	local what=$((RANDOM % 13))
	say "$(date +%T) fault $what host $i server $s $m" >>"$WORK/faults"
	case $what in
	0) kill -9 "${host_pid[$i]}"; sleep 0.2; start_entry $i ;;
	1) kill -STOP "${host_pid[$i]}"; sleep 1; kill -CONT "${host_pid[$i]}" ;;
	2) kill -TERM "${host_pid[$i]}"; sleep 3.8; start_entry $i ;;
	3) kill -HUP "${host_pid[$i]}" ;;
	4) echo "$m" >"$WORK/store.mode"; sleep 1.5; echo pass >"$WORK/store.mode" ;;
	5) echo "$m" >"$WORK/server$s.mode"; sleep 1.5
		echo pass >"$WORK/server$s.mode" ;;
	6) kill -9 "${server_pid[$s]}"; drop_row servers "${server_id[$s]}"
		incarnation=$((incarnation + 1)); sleep 0.3
		start_server $s $incarnation; announce $s ready ;;
	7) announce $s draining; sleep 2.2; announce $s ready ;;
	8) platform_fault '{"refuse_status":429}'; sleep 1
		platform_fault '{"refuse_status":0}' ;;
	9) platform_fault '{"forget":true}' ;;
	10) manifest ;;
	11) platform_fault '{"late_txns":1,"late_ms":700}' ;;
	12) kill -STOP "${server_pid[$s]}"; sleep 1
		kill -CONT "${server_pid[$s]}" ;;
	esac
}
in_force() {
	for i in $(seq 0 $((HOSTS - 1))); do
		test "$(call "$i" "/v$version/a" "end-$RANDOM$RANDOM" \
			-o /dev/null)" = " 200" || return 1
	done
}

declare -a host_pid server_pid server_id
version=0 incarnation=0
start_platform || exit 1
proxy store "127.0.0.1:$store_port" "$real_platform"
for s in $(seq 0 $((SERVERS - 1))); do
	proxy "server$s" "127.0.0.1:$((servers_port + s))" \
		"127.0.0.1:$((servers_port + 50 + s))"
	start_server $s 0
	announce $s ready
done
manifest
for i in $(seq 0 $((HOSTS - 1))); do start_entry $i; done
for i in $(seq 0 $((HOSTS - 1))); do wait_ready $i || fail "host $i"; done
loaders=
for i in $(seq 0 $((HOSTS - 1))); do
	callers $i &
	loaders="$loaders $!"
done
until=$((SECONDS + SECONDS_LONG))
while test $SECONDS -lt $until; do
	fault
	test $((RANDOM % 3)) = 0 || sleep 0.$((RANDOM % 9))
done
platform_fault '{"late_txns":0}'
manifest || manifest || fail "the store takes no manifest"
within 5 in_force || { cat "$WORK/faults"; fail "seed $SEED: version $version is not in force"; }
touch "$WORK/done"
wait $loaders 2>/dev/null

cat "$WORK"/up*_*.out | sort >"$WORK/runs"
cat "$WORK"/told* | awk '{ print $2, $1, $NF, $3 }' | sort >"$WORK/told"
# join: id kind status body, then how often it ran
awk 'NR == FNR { ran[$1]++; at[$1] = $2; next }
	{ total++; ok += $3 == 200 }
	$3 == 200 && (!ran[$1] || at[$1] != $4 && $2 == "order") { print "answer", $0, at[$1]; bad++ }
	($3 == 503 || $3 == 429) && ran[$1] { print "said not run", $0; bad++ }
	$2 == "order" && ran[$1] > 1 { print "ran twice", $0; bad++ }
	END { printf "%d calls, %d answered 200, %d wrong\n", total, ok, bad
		exit bad > 0 || total == 0 || ok * 2 < total }' \
	"$WORK/runs" "$WORK/told" || { cat "$WORK/faults"; fail "seed $SEED"; }
