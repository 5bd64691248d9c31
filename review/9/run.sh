#!/bin/bash
# A machine is added, and then one tenant sends several times what its allotment allows.
# Counts, from what the servers ran, the most requests of the tenant in 5 s.
set -u
. "$(dirname "$0")/../lib-2.sh"
FRONTS=2 SERVERS=4 CALLERS=6 PAUSE_MS=10 RATE=150 BURST=30
TENANT=tenant-j
HOT_S=6.3
# (rate-per-s x quota-window-s + burst) x (1 + quota-over) + quota-slack
MOST=$((((RATE * 5 + BURST) * 11) / 10 + 20))

start_store
for s in $(seq 0 $((SERVERS - 1))); do
	start "server$s" $TOOLS/tool_upstream "$(server_address "$s")" "s$s" 5
	within 10 answers_200 "$(server_address "$s")/health" || cannot_run "no server $s"
	put_server "$s" kalender 200
done
put_manifest 1 "$(route r1 /safe/ safe kalender),$(route r2 /order/ unsafe kalender)" \
	kalender '[{"name":"'"$TENANT"'","api-keys":["key-1"],"rate-per-s":'$RATE',"burst":'$BURST'}]'
for f in $(seq 0 $((FRONTS - 1))); do start_front "$f" first; done
for f in $(seq 0 $((FRONTS - 1))); do wait_front "$f"; done
sleep 3 # all rows of machines are written and read
# Each caller waits PAUSE_MS between two requests, so it sends 100 a second at most, and the
# CALLERS of them 600: less than 7.5 times the usual 94 a second, of which the allotment is
# 1.6 times as much.
if test "$TROUBLE" = 1; then
	start_front $FRONTS
	wait_front $FRONTS
	FRONTS=$((FRONTS + 1))
fi
sleep 2
begin_ms=$(now_ms)
for c in $(seq 0 $((CALLERS - 1))); do
	start "caller$c" $TOOLS/tool_caller "$(front_address $((c % FRONTS)))" "c$c" key-1 $PAUSE_MS
done
sleep $HOT_S
for name in ${!pid_caller*}; do kill -TERM "${!name}"; done
sleep 0.5

# What the servers ran (ID SERVER MS TENANT KEY), each request once
cat "$WORK"/server*.out | awk -v t="$TENANT" '$4 == t { print $3, $1, $2 }' |
	sort -n | awk '!seen[$2]++' >"$WORK/runs"
most_in_5s() { # from the time on
	awk -v from="$1" '$1 >= from { at[n++] = $1 }
		END { for (i = 0; i < n; i++) {
			while (at[i] - at[first] >= 5000) first++
			if (i - first + 1 > most) most = i - first + 1 }
			print most + 0 }' "$WORK/runs"
}
most=$(most_in_5s 0)
{
	say "allotment of $TENANT: $RATE a second, burst $BURST; at most $MOST in 5 s may run"
	say "machines: $FRONTS, $TROUBLE of them added; the tenant sends for $HOT_S s from $begin_ms ms on"
	say "sent: $(cat "$WORK"/caller*.out | wc -l), answered 200: $(cat "$WORK"/caller*.out |
		awk '$6 == 200' | wc -l), 429: $(cat "$WORK"/caller*.out | awk '$6 == 429' | wc -l)"
	say "run in all: $(wc -l <"$WORK/runs"); most in 5 s: $most"
	say "runs in each second:"
	awk '{ n[int($1 / 1000)]++ } END { for (s in n) print s, n[s] }' "$WORK/runs" | sort -n
	say "machines that limited the tenant, by their logs:"
	grep -ho '"host":"[^"]*","event":"quota".*' "$WORK"/front*.out | head -20
} >"$here/record.txt"
say "most in 5 s: $most, allowed $MOST"
test "$(wc -l <"$WORK/runs")" -gt $((RATE * 5)) || cannot_run "too few requests ran"
test "$most" -le $MOST
