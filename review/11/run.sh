#!/bin/bash
# BUDGET: all hosts are killed once while servers fail part of their requests.
. "$(dirname "$0")/../lib-3.sh"
HOSTS=16 SERVERS=6 WORK_MS=50 FAIL_PERCENT=55 PERIOD_MS=250
# The fault lasts 8.5 s in all.
KILL_AFTER_S=3.5 DOWN_S=0.5 REST_S=4.5

start_platform || exit 2
for s in $(seq 0 $((SERVERS - 1))); do start_stand_server "$s" $WORK_MS $FAIL_PERCENT; done
put_manifest 1 "$(print_route desk /desk/ safe desk)" || fail "the manifest"
start_fronts $HOSTS
sleep 3
for i in $(all_hosts); do
	start_requester "$i" $PERIOD_MS
	sleep 0.01
done
sleep 11
begin=$(now_ms)
for s in $(seq 0 $((SERVERS - 1))); do kill -USR1 "$(pid_of server$s)"; done
sleep $KILL_AFTER_S
if test "$TROUBLE" = 1; then
	note "at $(($(now_ms) - begin)) ms of the fault, all hosts are killed"
	for i in $(all_hosts); do kill -9 "$(pid_of "entry$i")"; done
	sleep $DOWN_S
	for i in $(all_hosts); do start_front "$i"; done
	sleep $REST_S
else
	sleep 5
fi
for s in $(seq 0 $((SERVERS - 1))); do kill -USR2 "$(pid_of server$s)"; done
sleep 4
for i in $(all_hosts); do kill -TERM "$(pid_of "requester$i")"; done
sleep 2.5
cat "$WORK"/requester*.out "$WORK"/server*.out | sort -s -n -k2,2 >>"$RECORD"
# Of each window of 10 s, in steps of 0.1 s: arrivals beyond the first of each request,
# and the requests sent in it, in the one before, or in the one half a window before.
awk -v slack=$retry_slack '
$1 == "sent" { sent[int($2 / 100)]++ }
$1 == "arrived" { t = int($2 / 100); if (seen[$3]++) extra[t]++; all++
	if (!first) first = t; last = t }
function count(list, from,  i, n) { for (i = from; i < from + 100; i++) n += list[i]; return n + 0 }
END {
	if (!all) { print "nothing arrived"; exit 2 }
	for (t = first - 100; t <= last; t++) {
		e = count(extra, t)
		n = count(sent, t); b = count(sent, t - 100); h = count(sent, t - 50)
		if (b > n) n = b
		if (h > n) n = h
		over = e - (0.2 * n + slack)
		if (t == first - 100 || over > worst) { worst = over; we = e; wn = n; wt = t }
	}
	printf "worst window from %d00 ms: %d arrivals beyond the first, %d requests, allowed %.1f\n", wt, we, wn, 0.2 * wn + slack
	exit worst > 0
}' "$RECORD" >"$WORK/verdict"
status=$?
note "$(cat "$WORK/verdict")"
note "answers: $(awk '$1 == "answered" { n[$4]++ } END { for (s in n) printf "%s: %d  ", s, n[s] }' "$RECORD")"
exit $status
