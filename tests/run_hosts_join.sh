#!/bin/bash
# Guards against hosts that go by the list of before when others join, sleep or come back:
# a customer then gets its quota from two hosts that count for it, blocks and limits of
# servers miss the new host, and each host would have to ask the store.
set -u
PORT_BASE=${PORT_BASE:-25800}
. "$(dirname "$0")/lib_platform.sh"
SERVERS=3 WORK_MS=5
RATE=30 BURST=6
# (RATE x 5 + BURST) x 1.1 + 20
MOST_IN_5S=191
CUSTOMERS="acme beta core dune"
# Of one start, whatever the number of hosts: the list twice, both tables, and the rest.
MOST_READS=10 MOST_WRITES=2
LOAD=0

lists_hosts() { # COUNT HOST...
	local host
	for host in "${@:2}"; do
		grep -q "$1 hosts are listed" "$WORK/entry$host.log" || return
	done
}
# start_load HOST...: two callers a customer, who turn to these hosts in turn.
start_load() {
	local hosts=("$@") name n=0
	LOAD=$((LOAD + 1))
	callers=
	for name in $CUSTOMERS $CUSTOMERS; do
		n=$((n + 1))
		start_process "caller$LOAD-$n" "$BIN/tool_caller" \
			"127.0.0.1:$((callers_port + hosts[n % ${#hosts[@]}]))" \
			"$name-$LOAD-$n" "key-of-$name-1" 5 2>/dev/null
		callers="$callers $PID"
	done
}
stop_load() {
	kill -TERM $callers 2>/dev/null
	sleep 0.5
}
# most_run CUSTOMER: the most of its requests that servers ran in 5 s.
most_run() {
	cat "$WORK"/server*.out | awk -v p="$1-" 'index($1, p) == 1 { print $3 }' |
		sort -n | awk 'BEGIN { first = n = 0 } { at[n++] = $1
			while (at[n - 1] - at[first] >= 5000) first++
			if (n - first > most) most = n - first }
			END { print most + 0 }'
}
check_quotas() { # WHEN
	local name most
	for name in $CUSTOMERS; do
		most=$(most_run "$name")
		say "$1: $name at most $most in 5 s"
		check "$1: $name has $most requests in 5 s, allowed $MOST_IN_5S" \
			test "$most" -le $MOST_IN_5S
		check "$1: $name sends more than its quota" \
			test "$most" -gt $((RATE * 5 / 2))
	done
}
# signal_host I SIGNAL
signal_host() {
	eval "kill -$2 \$pid_entry$1"
}

routes=$(print_route safe /safe/ safe desk),$(print_route order /order/ unsafe desk)
start_deployment "$routes"
first_start=true start_followers 0 1
sleep 2.5
reads=$(store_stat reads) writes=$(store_stat writes)
sleep 3
quiet=$(($(store_stat reads) - reads))
reads=$(store_stat reads)
# Host 2 polls nobody: it has the largest share of a processor.
processor_share=0.9 start_followers 2
check "hosts 0 and 1 do not list host 2" within 2 lists_hosts 3 0 1
sleep 2
reads=$(($(store_stat reads) - reads - quiet)) writes=$(($(store_stat writes) - writes))
say "a host more: $reads reads more in the same time, $writes writes"
check "a host more costs $reads reads, allowed $MOST_READS" test $reads -le $MOST_READS
check "a host more costs $writes writes, allowed $MOST_WRITES" \
	test $writes -le $MOST_WRITES

customers=$(for name in $CUSTOMERS; do
	printf '{"name":"%s","api-keys":["key-of-%s-1"],"rate-per-s":%s,"burst":%s},' \
		"$name" "$name" $RATE $BURST
done)
customers="[${customers%,}]"
put_manifest 2 "$routes" || fail "the store did not take version 2"
check "version 2 is not in force" within 3 in_force 2 0 1 2
sleep 1
start_load 0 1 2
sleep 6.5
stop_load
check_quotas "joined before"

start_load 0 1 2
sleep 1.5
start_followers 3
sleep 4
start_followers 4
sleep 4
stop_load
check "hosts 0 to 2 do not list hosts 3 and 4" lists_hosts 5 0 1 2
check_quotas "joined amid the load"

start_load 0 1 2 3
sleep 1
signal_host 1 STOP
start_followers 5
sleep 3
signal_host 1 CONT
sleep 5
stop_load
check "host 1 does not list host 5" within 2 lists_hosts 6 1
check_quotas "joined while host 1 slept"

start_load 1 2 3
sleep 1
kill_process entry0
sleep 3
start_followers 0
sleep 4
stop_load
check_quotas "left and came back"
report_failures
