#!/bin/bash
# Quotas over all hosts. Guards against a customer that gets more than its quota by
# spreading its requests over the hosts, against a customer within its quota that is
# refused, and against the quota's end with the host that counts.
set -u
PORT_BASE=${PORT_BASE:-26900}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=3 SERVERS=2 WORK_MS=5
RATE=8 BURST=8 SECONDS_LONG=8
# (RATE x 5 + BURST) x 1.1 + 20
MOST_IN_5S=72
customers='[{"name":"acme","api-keys":["key-of-acme-1"],"rate-per-s":'$RATE',"burst":'$BURST'},
	{"name":"beta","api-keys":["key-of-beta-1"],"rate-per-s":'$RATE',"burst":'$BURST'}]'

# call_as CUSTOMER HOST: one call; adds a line "MS STATUS" to the file CUSTOMER.
call_as() {
	local status
	status=$(call_host "$2" /desk/a "q$RANDOM$RANDOM" -o /dev/null \
		-H "Authorization: Bearer key-of-$1-1" -w '%{http_code}')
	echo "$(now_ms) ${status##* }" >>"$WORK/$1"
}
# send_for SECONDS PAUSE_S CUSTOMER HOST...: calls in turn, each in the background.
send_for() {
	local until=$(($(now_ms) + $1 * 1000)) n=0 hosts=("${@:4}")
	while test "$(now_ms)" -lt $until; do
		call_as "$3" "${hosts[n % ${#hosts[@]}]}" &
		n=$((n + 1))
		sleep "$2"
	done
	wait $(jobs -p | grep -vwFf <(printf '%s\n' $PIDS)) 2>/dev/null
}
# most_admitted FILE: the most answers with status 200 within 5 s.
most_admitted() {
	awk '$2 == 200 { at[n++] = $1 }
		END { for (i = 0; i < n; i++) {
			while (at[i] - at[first] >= 5000) first++
			if (i - first + 1 > most) most = i - first + 1 }
			print most + 0 }' <(sort -n "$1")
}
count() { grep -c " $2\$" "$WORK/$1"; }

start_deployment "$(print_route desk /desk/ safe desk)"
start_followers $(all_hosts)
# The rows of all hosts are known to all.
sleep 2

# Overload by one customer over all hosts, the other one within its quota
send_for $SECONDS_LONG 0.015 acme 0 1 2 &
acme_sender=$!
send_for $SECONDS_LONG 0.3 beta 0 1 2
wait $acme_sender
say "acme: $(count acme 200) admitted, $(count acme 429) refused, at most \
$(most_admitted "$WORK/acme") in 5 s; beta: $(count beta 200) admitted"
check "at most $MOST_IN_5S requests in 5 s" \
	test "$(most_admitted "$WORK/acme")" -le $MOST_IN_5S
check "the quota is used" test "$(count acme 200)" -ge $((RATE * SECONDS_LONG * 7 / 10))
check "only 200 and 429" test -z "$(grep -vE ' (200|429)$' "$WORK/acme")"
check "beta is within its quota" test "$(grep -vc ' 200$' "$WORK/beta")" = 0
check "a host says who is limited" \
	grep -q '"event":"quota".*customer acme is over its quota' "$WORK"/entry?.log
check "no key is logged" test -z "$(grep -l key-of- "$WORK"/entry?.log)"
refused_head() {
	curl -s -D - -o /dev/null -H 'Host: x.example' -H 'Deadline-Ms: 2000' \
		-H "Authorization: Bearer key-of-acme-1" \
		"127.0.0.1:$((callers_port + 1))/desk/a"
}
head=
for _ in $(seq 40); do
	head=$(refused_head)
	case $head in *" 429"*) break ;; esac
done
check "429 says when to come back" \
	test "$(printf '%s' "$head" | grep -ciE '^retry-after: (0\.[1-9]|[1-9])')" = 1

# The host that counts for acme is killed under overload.
counting=$(grep -l 'customer acme is over' "$WORK"/entry?.log | head -1 | tr -dc 0-9a-z/. |
	sed 's/.*entry\([0-9]\).log/\1/')
rest=$(all_hosts | grep -v "^$counting\$")
sleep 3
rm -f "$WORK/acme" "$WORK/beta"
send_for 10 0.015 acme $rest &
acme_sender=$!
sleep 2
eval "kill -9 \$pid_entry$counting"
send_for 8 0.3 beta $rest
wait $acme_sender
say "host $counting killed: $(count acme 200) admitted, at most \
$(most_admitted "$WORK/acme") in 5 s; beta: $(count beta 200) admitted"
check "at most $MOST_IN_5S requests in 5 s without the host" \
	test "$(most_admitted "$WORK/acme")" -le $MOST_IN_5S
check "the quota is used without the host" test "$(count acme 200)" -ge $((RATE * 4))
check "beta loses nothing" test "$(grep -vc ' 200$' "$WORK/beta")" -le 2
report_failures
