#!/bin/bash
# Communication between entry hosts. Guards against hosts that miss a document
# while the platform is down or go back to an older one, against host lists that
# do not change when a host is killed, paused or stopped, against malformed
# messages that are not rejected, and against calls to a server that is leaving.
# usage: run_peers.sh DIRECTORY [generation]. With "generation" only the part on
# documents without the platform runs, which prints how long a document takes to
# reach all hosts.
set -u
. "$(dirname "$0")/lib.sh"
PART=${2:-all}
HOSTS=5
LAST=$((HOSTS - 1))
ZONES=gs-a,gs-b,gs-c
WAIT_ATTEMPTS=150 # 0.1 s apart

fail() {
	say "FAILED: $*"
	for i in $(seq 0 $LAST); do
		say "entry-$i:"
		tail -5 "$WORK/entry$i.log"
	done
	exit 1
}

# generation_in_force I: prints the generation that host I has in force, or
# nothing when it has none.
generation_in_force() {
	curl -s -m 2 -H "authorization: Bearer $TOKEN" \
		"127.0.0.1:$((operators_port + $1))/v1/document" |
		sed -n 's/.*"generation": *\([0-9]*\).*/\1/p'
}

# wait_generation N HOST...: waits until the hosts have generation N. Fails when
# a host goes back to a lower generation.
wait_generation() {
	wanted=$1
	shift
	for _ in $(seq $WAIT_ATTEMPTS); do
		missing=
		for i in "$@"; do
			now=$(generation_in_force "$i")
			seen=$(cat "$WORK/seen$i" 2>/dev/null || say 0)
			test "${now:-0}" -ge "$seen" ||
				fail "entry-$i went from generation $seen to $now"
			say "${now:-0}" >"$WORK/seen$i"
			test "${now:-0}" -eq "$wanted" || missing="$missing $i"
		done
		test -z "$missing" && return 0
		sleep 0.1
	done
	fail "generation $wanted did not reach$missing"
}

# newest_host_list I: prints the hosts that host I logged last as live.
newest_host_list() {
	sed -n 's/.*"event": *"hosts", *"message": *"[0-9]* live: \([^"]*\)".*/\1/p' \
		"$WORK/entry$1.log" | tail -1
}

# wait_host_list TEXT HOST...: waits until TEXT is the newest list of each host.
wait_host_list() {
	text=$1
	shift
	for _ in $(seq $WAIT_ATTEMPTS); do
		missing=
		for i in "$@"; do
			test "$(newest_host_list "$i")" = "$text" ||
				missing="$missing $i"
		done
		test -z "$missing" && return 0
		sleep 0.1
	done
	fail "hosts$missing did not list: $text"
}

# apply_next_generation I: submits the document at host I with another queue
# limit, which makes it a new generation.
apply_next_generation() {
	CHANGE=$((${CHANGE:-0} + 1))
	sed "s/^\(    route: .*\)/\1\n    queue_limit: $((100 + CHANGE))/" \
		"$WORK/base.yaml" >"$WORK/document.yaml"
	# The command does not free its memory before it exits, which the leak
	# checker would report.
	ASAN_OPTIONS=detect_leaks=0 operator_cli "$1" apply --author test \
		--base $((CHANGE - 1)) "$WORK/document.yaml" ||
		fail "document $CHANGE was not accepted"
}

start_platform || exit 1
start_servers ordering 0 3 6 $ZONES 1000 || exit 1
for i in $(seq 0 $LAST); do
	start_host "$i" "$(say $ZONES | cut -d, -f$((i % 3 + 1)))" $HOSTS
done
{
	say "deployment: tri-parish"
	say "zones: [$(say $ZONES | sed 's/,/, /g')]"
	say "callers: []"
	say "services:"
	print_service ordering /ordering/ 0 3 6 260 $ZONES least-of-two \
		"      - {method: GET, path: /ordering/, idempotent: true}"
} >"$WORK/base.yaml"
wait_http "127.0.0.1:$operators_port" /health || exit 1
apply_next_generation 0
wait_generation 1 $(seq 0 $LAST)

# The reads of the other hosts are still delayed when the platform goes down, so
# that none of them gets the new row or body from the platform.
platform_fault '{"delay_ms":1000}'
sleep 1
apply_next_generation 0
platform_fault '{"down":true}'
begin=$(date +%s%N)
wait_generation 2 $(seq 0 $LAST)
took_ms=$((($(date +%s%N) - begin) / 1000000))
say "generation reached $HOSTS hosts without the platform in $took_ms ms"
test "$PART" = generation && exit 0
platform_fault '{"down":false,"delay_ms":0}'

wait_host_list "entry-0 entry-1 entry-2 entry-3 entry-4" $(seq 0 $LAST)
kill -9 "$pid_entry1"
wait_host_list "entry-0 entry-2 entry-3 entry-4" 0 2 3 4

kill -STOP "$pid_entry2"
wait_host_list "entry-0 entry-3 entry-4" 0 3 4
apply_next_generation 3
wait_generation 3 0 3 4
kill -CONT "$pid_entry2"
wait_host_list "entry-0 entry-2 entry-3 entry-4" 0 2 3 4
wait_generation 3 0 2 3 4

# A host must reject malformed datagrams and records, and count them.
peer=127.0.0.1/$((peers_port + 3))
for bytes in 0 1 40 1400 3000; do
	head -c $bytes /dev/zero >"/dev/udp/$peer"
	head -c $bytes /dev/urandom >"/dev/udp/$peer"
done
printf '\xff\xff\xff\xff' >"/dev/tcp/$peer"
printf '\x80\x00\x00\x08abcdefgh' >"/dev/tcp/$peer"
printf '\x00\x00\x00\x00\x00\x00\x00\x00' >"/dev/tcp/$peer"
sleep 0.3
rejected=$(counter 3 peer_messages_rejected_total)
test "${rejected:-0}" -ge 10 || fail "rejected messages: ${rejected:-none}"

# Two servers are leaving: ordering-0 by the platform's list, ordering-1 by a
# header on an answer to entry-0. The other hosts must stop using both.
call_host() { curl -s -m 3 "127.0.0.1:$((callers_port + $1))/ordering/stock"; }
curl -s -o /dev/null -X PUT "$platform_address/hosts" -d '[{"name":
	"ordering-0", "address": "127.0.0.1:1", "state": "leaving"}]'
server_control 1 '{"draining":true}'
for _ in $(seq 20); do call_host 0 >/dev/null; done
begin=$(date +%s%N)
for _ in $(seq $WAIT_ATTEMPTS); do
	for _ in $(seq 30); do call_host 3; done >"$WORK/answers"
	used=$(sed -n 's/.*server=\([^ ]*\).*/\1/p' "$WORK/answers" |
		sort -u | tr '\n' ' ')
	test "$used" = "$((servers_port + 2)) " && break
	sleep 0.1
done
test "$used" = "$((servers_port + 2)) " || fail "entry-3 still uses $used"
say "leaving servers unused after $((($(date +%s%N) - begin) / 1000000)) ms"

kill -TERM "$pid_entry4"
wait_host_list "entry-0 entry-2 entry-3" 0 2 3
wait "$pid_entry4" || fail "entry-4 did not stop cleanly"
grep -q 'entry-4 (draining)' "$WORK/entry0.log" ||
	fail "entry-4 was not listed as draining"
say passed
