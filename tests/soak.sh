#!/bin/bash
# Randomized fault injection. Runs real processes on loopback and injects faults
# from outside: by a proxy in front of the store and of each server, by signals
# to hosts and servers, and by faults of the store.
# At the end the answers that callers got are compared with the calls that the
# servers ran:
#   - a call answered 200 ran, and the body of an order names the server that
#     ran it
#   - a call answered 503 or 429 never ran
#   - an order ran at most once
#   - a call on a connection that its caller has kept is not cut off by a planned
#     stop of its host, once a server runs it
#   - a call whose caller left while the host was paused never ran
#   - a server that named a limit of requests a second did not get more than one
#     and a half times that, and five, in any 4 s
#   - a server that asked for a pause, or said that it leaves, got no more than a
#     few requests of each host while that held
#   - callers that keep their connections read nothing but whole answers to their
#     own calls, or the beginning of one on a connection that ends
#   - a request that crashes its servers reaches no more than three of them, and
#     three more in retries; no other request is refused for crashes
#   - within 5 s of the last fault, and of each time when the store came back from
#     a copy, every host has the newest manifest in force and serves a call by it
#   - what lib_soak.sh says of customers, their keys and quotas, of evacuations and of
#     cold servers
# At least half of the calls must be answered 200.
# Each host has a caller that keeps its connection until the host is gone, and the
# first four hosts have one that opens a connection for each call. Faults come one
# after the other, after every fifth some that overlap, and after every seventh a
# server asks for a pause and then leaves. After every third, hosts get a request
# that crashes servers; DURATION does not count the time that this takes.
# usage: [HOSTS=N] [SERVERS=N] soak.sh DIRECTORY SEED [SECONDS]. The seed determines
# the faults and their order; they are injected for 20 s by default. Up to 50 hosts
# and 50 servers, which are four processes each at most.
set -u
SEED=${2:?seed} DURATION_S=${3:-20}
PORT_BASE=${PORT_BASE:-24000}
set -- "$1"
. "$(dirname "$0")/lib_platform.sh"
HOSTS=${HOSTS:-4} SERVERS=${SERVERS:-4} LIMIT_PER_S=3
. "$(dirname "$0")/lib_soak.sh"
# A limit binds from SETTLE_MS after it was first named, in any WINDOW_MS.
SETTLE_MS=3000 WINDOW_MS=4000
# Servers that may run a request that crashes them: until it is known, and in retries.
MAX_CRASHES=$((3 + 3))
RANDOM=$SEED
store_port=$((PORT_BASE + 1))

# Hosts reach the store and the servers through proxies.
real_platform=$platform_address
# start_proxy NAME LISTEN TARGET [MODE]: the word in NAME.mode sets how it forwards;
# see tool_soak_proxy.c.
start_proxy() {
	echo "${4:-pass}" >"$WORK/$1.mode"
	start_process "$1" "$BIN/tool_soak_proxy" "$2" "$3" "$WORK/$1.mode"
}
# How server I answers: by a length; in chunks and pieces, some of which never come; in
# chunks, and once more later; without a length.
framings=("" chunks chunks close)
forwarding=(pass ends twice pass)
# set_pieces MODE: how servers that answer in pieces are forwarded from now on.
set_pieces() {
	for s in $(seq 1 4 $((SERVERS - 1))); do echo "$1" >"$WORK/server$s.mode"; done
	sleep 0.2 # until it is read, and answers that have begun are over
}
# start_server I INCARNATION: starts server I under a new id.
start_server() {
	server_id[$1]=s$1-$2
	start_process "upstream$1_$2" "$BIN/tool_upstream" \
		"127.0.0.1:$((servers_port + 50 + $1))" "s$1-$2" 20
	server_pid[$1]=$PID
	wait_http "127.0.0.1:$((servers_port + 50 + $1))" /health
	curl -s -o /dev/null -X PUT -d "${framings[$(($1 % 4))]}" \
		"127.0.0.1:$((servers_port + 50 + $1))/framing"
}
# put_server_state I STATE: writes the row of server I, with its proxy's
# address.
put_server_state() {
	server_state[$1]=$2
	sequence=$((sequence + 1))
	put_row servers "${server_id[$1]}" '{"service":"desk","address":"127.0.0.1:'$((servers_port + $1))'","zone":"'"$(zone_of $1)"'","version":"v1","slots":6,"state":"'"$2"'","warmup-left-s":'"$(warmup_left_s $1)"',"sequence":'$sequence'}'
}
start_entry() { # I
	# The log of an earlier start would be overwritten.
	test ! -e "$WORK/entry$1.log" || cat "$WORK/entry$1.log" >>"$WORK/entries.log"
	host_zone=$(zone_of $1) platform_address=127.0.0.1:$store_port start_follower "$1"
	host_pid[$1]=$PID
}
# run_caller I: sends calls to host I one after the other until the end of the
# soak. Every third call is an order.
run_caller() {
	local n=0 kind path
	while test ! -e "$WORK/done"; do
		n=$((n + 1)) kind=safe path=/safe/a
		test $((n % 3)) = 0 && kind=order path=/order/a
		printf '%s %s %s\n' "$kind" "h$1-$n" "$(call_soak "$1" $path \
			"h$1-$n" -X "$(test $kind = safe && echo GET ||
			echo POST)" 2>/dev/null | tr '\n' ' ')" >>"$WORK/outcomes$1"
	done
}
# leave_early I: sends two calls to host I, whose callers leave after 0.1 s.
leave_early() {
	call_soak "$1" /safe/a "left-$((++departed))" -m 0.1 >/dev/null
	call_soak "$1" /order/a "left-$((++departed))" -m 0.1 -X POST >/dev/null
}
# expect_paused I: host I has stood still until now. A caller that left while its host
# went on, because another process let it, may have been served.
expect_paused() {
	local state
	state=$(sed 's/.*) //' "/proc/${host_pid[$1]}/stat" 2>/dev/null | cut -c1)
	test "$state" = T && return
	cat "$WORK/faults"
	fail "seed $SEED: host $1 did not stand still while its callers left, state ${state:-none}"
}
# begin_limit I, end_limit I: server I names a limit, and no longer does. A line
# "server from-ms to-ms" in "limits" says how long.
begin_limit() {
	test -z "${limited_since[$1]:-}" || return
	limited_since[$1]=$(now_ms)
	set_limit $((50 + $1)) $LIMIT_PER_S
}
end_limit() {
	test -n "${limited_since[$1]:-}" || return
	say "${server_id[$1]} ${limited_since[$1]} $(now_ms)" >>"$WORK/limits"
	limited_since[$1]=
	set_limit $((50 + $1)) "" 2>/dev/null
}
# Writes the next version of the manifest, which has a route of that version.
put_next_manifest() {
	version=$((version + 1))
	set_customers
	desk_fields='"warmup-per-s":'$COLD_PER_S',"warmup-s":'$((COLD_MS / 1000)), \
		put_manifest $version "$(print_route safe /safe/ safe desk),$(print_route order \
		/order/ unsafe desk),$(print_route "v$version" "/v$version/" safe desk)"
}
# The store is away for half a second and comes back from its copy, which lacks the
# last manifest. The operator writes the next one, and the servers write again what
# is lost; those that have ended are gone.
restore_store() {
	test $((RANDOM % 2)) = 0 || platform_fault '{"copy":true}'
	put_next_manifest
	sleep 0.8
	platform_fault '{"down":true}'
	sleep 0.5
	platform_fault '{"down":false,"restore":true}'
	sleep 0.$((RANDOM % 9))
	local written=1
	put_next_manifest || written=0
	write_evacuation
	for id in "${ended_ids[@]}"; do drop_row servers "$id"; done
	for s in $(seq 0 $((SERVERS - 1))); do
		put_server_state $s "${server_state[$s]}"
	done
	test $written = 0 || within 5 manifest_in_force || {
		cat "$WORK/faults"
		fail "seed $SEED: version $version is not in force after a restore"
	}
}
# Injects one random fault, or writes the next manifest. A fault that lasts is
# ended before the function returns, except for a late transaction.
inject_fault() {
	local host=$((RANDOM % HOSTS)) server=$((RANDOM % SERVERS))
	local modes=(reset silent up down slow)
	local mode=${modes[$((RANDOM % 5))]}
	local fault=$((RANDOM % 17)) began_ms
	began_ms=$(now_ms)
	say "$(date +%T) fault $fault host $host server $server $mode" >>"$WORK/faults"
	case $fault in
	0) kill -9 "${host_pid[$host]}"; sleep 0.2; start_entry $host ;;
	1) kill -STOP "${host_pid[$host]}"; sleep 0.1
		leave_early $host; expect_paused $host; sleep 0.7
		kill -CONT "${host_pid[$host]}" ;;
	2) set_pieces pieces # what a server breaks off is not cut off by the stop
		stopped_ms=$(now_ms); kill -TERM "${host_pid[$host]}"; sleep 3.8
		say "k$host $stopped_ms $(now_ms)" >>"$WORK/stops"
		set_pieces ends
		start_entry $host ;;
	3) kill -HUP "${host_pid[$host]}" ;;
	4) echo "$mode" >"$WORK/store.mode"; sleep 1.5
		echo pass >"$WORK/store.mode" ;;
	5) end_cold_check $server; echo "$mode" >"$WORK/server$server.mode"; sleep 1.5
		echo "${forwarding[$((server % 4))]}" >"$WORK/server$server.mode" ;;
	6) renew_server $server ;;
	7) put_server_state $server draining; sleep 2.2; put_server_state $server ready ;;
	8) platform_fault '{"refuse_status":429}'; sleep 1
		platform_fault '{"refuse_status":0}' ;;
	9) platform_fault '{"forget":true}' ;;
	10) put_next_manifest ;;
	11) platform_fault '{"late_txns":1,"late_ms":700}' ;;
	12) end_cold_check $server; kill -STOP "${server_pid[$server]}"; sleep 1
		kill -CONT "${server_pid[$server]}" ;;
	13) begin_limit $server; sleep 1 ;;
	14) end_limit $server ;;
	15) platform_fault '{"copy":true}' ;;
	16) restore_store ;;
	esac
	case $fault in 4 | 8 | 11 | 16) note_store_fault "$began_ms" ;; esac
}
# overlap_faults HOST SERVER: a host stops, the next one is paused and reads its
# settings anew, a third one is killed, started and paused; meanwhile manifests
# change and a server drains. Takes no random number, so that it does not change
# what follows.
overlap_faults() {
	local a=$1 b=$((($1 + 1) % HOSTS)) c=$((($1 + 2) % HOSTS))
	say "$(date +%T) overlapping faults, hosts $a $b $c server $2" >>"$WORK/faults"
	kill -TERM "${host_pid[$a]}"
	put_next_manifest
	kill -STOP "${host_pid[$b]}"
	kill -9 "${host_pid[$c]}"; sleep 0.2; start_entry $c
	put_server_state $2 draining
	kill -HUP "${host_pid[$b]}"; sleep 0.3
	kill -STOP "${host_pid[$c]}"
	kill -CONT "${host_pid[$b]}"; sleep 0.4
	put_next_manifest
	kill -CONT "${host_pid[$c]}"; sleep 1.5
	put_server_state $2 ready; sleep 1.6
	start_entry $a
}
# renew_server SERVER: it ends, and its next start has another id.
renew_server() {
	end_limit $1
	kill -9 "${server_pid[$1]}"
	replace_server $1 cold
}
# replace_server SERVER [cold]: starts it anew after its end.
replace_server() {
	ended_ids+=("${server_id[$1]}")
	drop_row servers "${server_id[$1]}"
	incarnation=$((incarnation + 1)); sleep 0.3
	start_server $1 $incarnation
	test -z "${2:-}" || start_cold $1
	put_server_state $1 ready
}
# replace_crashed: starts the servers anew that have crashed.
replace_crashed() {
	for s in $(seq 0 $((SERVERS - 1))); do
		kill -0 "${server_pid[$s]}" 2>/dev/null && continue
		end_limit $s
		replace_server $s
	done
}
# crash_servers: each host in turn gets a request that crashes the servers that run it,
# the same as the last DEADLY_ROUNDS - 1 times at most. Takes no random number.
DEADLY_ROUNDS=4
crash_servers() {
	local path=/safe/$((deadly / DEADLY_ROUNDS))/deadly try
	say "$(date +%T) $path" >>"$WORK/faults"
	for try in $(seq 8); do
		call_soak $((try % HOSTS)) $path "deadly-$((deadly / DEADLY_ROUNDS))-$deadly-$try" \
			-o /dev/null >/dev/null
		test $((try % 4)) != 0 || replace_crashed
	done
	deadly=$((deadly + 1))
}
# give_notice SERVER WHAT TEXT SETTLE-MS: the server says so in its answers for some
# time. A line "server from-ms to-ms" in "notices" says when it may get nothing.
give_notice() {
	curl -s -o /dev/null -X PUT -d "$3" \
		"127.0.0.1:$((servers_port + 50 + $1))/$2"
	local from=$(($(now_ms) + $4))
	sleep $(($4 / 1000 + 1))
	say "${server_id[$1]} $from $(now_ms)" >>"$WORK/notices"
	curl -s -o /dev/null -X PUT -d "" \
		"127.0.0.1:$((servers_port + 50 + $1))/$2"
}
# notice_faults SERVER: it asks for pauses, then leaves although its row says that it
# is ready, and ends. Takes no random number.
notice_faults() {
	say "$(date +%T) notices of server $1" >>"$WORK/faults"
	give_notice $1 pause 2.5 600
	give_notice $1 leaving healthy 2000
	renew_server $1
}
# Whether every host serves a call on the route of the newest manifest.
manifest_in_force() {
	for i in $(seq 0 $((HOSTS - 1))); do
		test "$(call_soak "$i" "/v$version/a" "end-$RANDOM$RANDOM" \
			-o /dev/null)" = " 200" || return 1
	done
}

declare -a host_pid server_pid server_id server_state limited_since
declare -a ended_ids=()
version=0 incarnation=0 departed=0 sequence=0 deadly=0
start_platform || exit 1
start_proxy store "127.0.0.1:$store_port" "$real_platform"
for s in $(seq 0 $((SERVERS - 1))); do
	start_proxy "server$s" "127.0.0.1:$((servers_port + s))" \
		"127.0.0.1:$((servers_port + 50 + s))" "${forwarding[$((s % 4))]}"
	start_server $s 0
	put_server_state $s ready
done
put_next_manifest
# So that the store can be restored before the first fault that makes a copy.
platform_fault '{"copy":true}'
for i in $(seq 0 $((HOSTS - 1))); do start_entry $i; done
for i in $(seq 0 $((HOSTS - 1))); do
	wait_ready $i || fail "host $i is not ready"
done
caller_pids= kept_pids=
for i in $(seq 0 $((HOSTS - 1))); do
	start_process "caller$i" "$BIN/tool_caller" \
		"127.0.0.1:$((callers_port + i))" "k$i" \
		$(test $CUSTOMERS = 0 || echo key-of-steady-1)
	kept_pids="$kept_pids $PID"
	test $i -lt 4 || continue
	run_caller $i &
	caller_pids="$caller_pids $!"
	PIDS="$PIDS $!" # stop_all ends it if the soak fails early
done
start_customers
until=$((SECONDS + DURATION_S)) injected=0
while test $SECONDS -lt $until; do
	inject_fault
	injected=$((injected + 1))
	customer_faults
	evacuation_faults
	test $((injected % 5)) != 0 ||
		overlap_faults $((injected / 5 % HOSTS)) $((injected % SERVERS))
	test $((injected % 7)) != 0 || notice_faults $((injected % SERVERS))
	test $((injected % 3)) != 0 || {
		crash_began=$SECONDS
		crash_servers
		until=$((until + SECONDS - crash_began))
	}
	test $((RANDOM % 3)) = 0 || sleep 0.$((RANDOM % 9))
done
for s in $(seq 0 $((SERVERS - 1))); do end_limit $s; done
platform_fault '{"late_txns":0}'
put_next_manifest || put_next_manifest ||
	fail "the store does not take the last manifest"
within 5 manifest_in_force || { cat "$WORK/faults"; fail "seed $SEED: version $version is not in force"; }
calm_down
touch "$WORK/done"
kill -TERM $kept_pids
wait $caller_pids $kept_pids 2>/dev/null

cat "$WORK"/upstream*_*.out | sort >"$WORK/runs"
touch "$WORK/customer_none.out" # in seeds without customers
cat "$WORK"/outcomes* "$WORK"/caller*.out "$WORK"/customer_*.out | awk '{ print $2, $1, $NF, $3 }' | sort >"$WORK/outcomes"
# Joins the runs (id server) with the outcomes (id kind status body).
awk '$1 ~ /^left-/ { print "ran for a caller that had left", $0; bad++; next }
	NR == FNR { ran[$1]++; at[$1] = $2; next }
	$1 !~ /^(over|moving)-/ { total++; ok += $3 == 200 }
	$3 == 200 && (!ran[$1] || at[$1] != $4 && $2 == "order") { print "wrong answer", $0, at[$1]; bad++ }
	($3 == 503 || $3 == 429 || $3 == 401) && ran[$1] { print "refused but ran", $0; bad++ }
	$2 == "order" && ran[$1] > 1 { print "ran twice", $0; bad++ }
	END { printf "%d calls, %d answered 200, %d wrong\n", total, ok, bad
		exit bad > 0 || total == 0 || ok * 2 < total }' \
	"$WORK/runs" "$WORK/outcomes" || {
		cat "$WORK/faults"
		fail "seed $SEED: answers and runs do not agree, or too few calls succeeded"
	}

check_customers
check_evacuations
check_cold_servers

# Joins the runs, the planned stops (caller from to) and what the callers that keep
# their connections got (kind id body reused time status).
touch "$WORK/stops"
awk 'FILENAME == ARGV[1] { ran[$1]++; next }
	FILENAME == ARGV[2] { n++; host[n] = substr($1, 2); from[n] = $2; to[n] = $3; next }
	{ kept += $4 }
	$4 && !$6 && ran[$2] { for (i = 1; i <= n; i++)
		if ($2 ~ "^[a-z]+-?" host[i] "-" && $5 >= from[i] && $5 < to[i]) {
			print "cut off by a planned stop", $0; bad++ } }
	END { printf "%d calls on kept connections, %d planned stops, %d cut off\n", kept, n, bad
		exit bad > 0 || !kept }' \
	"$WORK/runs" "$WORK/stops" "$WORK"/caller*.out "$WORK"/customer_*.out || {
		cat "$WORK/faults"
		fail "seed $SEED: a planned stop has cut off a call"
	}

cat "$WORK"/caller*.log "$WORK"/customer_*.log >"$WORK/wrong_answers" 2>/dev/null
say "$(wc -l <"$WORK/wrong_answers") answers on kept connections were wrong"
test ! -s "$WORK/wrong_answers" || {
	cat "$WORK/faults" "$WORK/wrong_answers"
	fail "seed $SEED: callers got what is no answer to their call"
}

# How many servers ran each request that crashes them, and what was refused for it.
cat "$WORK"/entr*.log | grep '"result":"crashes-servers"' >"$WORK/refused"
refused=$(grep -cv '"id":"deadly-' "$WORK/refused")
grep -o '^deadly-[0-9]*' "$WORK/runs" | sort | uniq -c | awk -v allowed=$MAX_CRASHES \
	-v requests=$(((deadly + DEADLY_ROUNDS - 1) / DEADLY_ROUNDS)) '
	$1 > most { most = $1 }
	END { printf "%d requests that crash servers, at most %d of %d ran\n", requests, most, allowed
		exit most > allowed || requests && !most }' && test "$refused" = 0 || {
		cat "$WORK/faults"
		grep '^deadly-' "$WORK/runs" | sort -k3n
		fail "seed $SEED: servers crashed under a request, or $refused sound ones were refused"
	}

# Joins the limits (server from to) with the runs (id server time).
touch "$WORK/limits"
sort -k3n "$WORK/runs" >"$WORK/runs_in_order"
awk -v settle=$SETTLE_MS -v window=$WINDOW_MS -v allowed=$((LIMIT_PER_S * WINDOW_MS * 3 / 2000 + 5)) '
	FILENAME == ARGV[1] { n++; server[n] = $1; from[n] = $2 + settle; to[n] = $3; next }
	{ for (i = 1; i <= n; i++) {
		if (server[i] != $2 || $3 < from[i] || $3 >= to[i]) continue
		at[i, ++last[i]] = $3
		while ($3 - at[i, first[i] + 1] >= window) first[i]++
		if (last[i] - first[i] > most[i]) most[i] = last[i] - first[i]
	} }
	END { for (i = 1; i <= n; i++) {
		bound += to[i] > from[i]
		if (most[i] > greatest) greatest = most[i]
		bad += most[i] > allowed
	}
	printf "%d limits that bound, at most %d of %d requests in a window\n", bound, greatest, allowed
	exit bad > 0 }' "$WORK/limits" "$WORK/runs_in_order" || {
		cat "$WORK/faults"
		fail "seed $SEED: a server got more than its limit"
	}

# What servers got while they wanted nothing, of each host two requests at most: one
# that was on its way, and one by which a host hears of it.
bad=0
touch "$WORK/notices"
while read -r server from to; do
	got=$(awk -v from=$from -v to=$to \
		'$1 == "notice" && $3 >= from && $3 < to { n++ } END { print n + 0 }' \
		"$WORK/upstream${server%%-*}_${server##*-}.out")
	test $got -le $((2 * HOSTS)) || bad=$((bad + 1))
done < <(sed 's/^s//' "$WORK/notices")
say "$(wc -l <"$WORK/notices") notices, $bad not kept"
test $bad = 0 || {
	cat "$WORK/faults"
	fail "seed $SEED: a server got requests that it wanted not"
}
