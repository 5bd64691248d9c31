#!/bin/bash
# Customers in the soak. Sourced by soak.sh, which runs faults meanwhile. The runs that
# servers print are compared with what the keys and quotas allow:
#   - a run has the name of the customer that its caller's key belongs to, although
#     callers forge another one, and no header with a key
#   - no call with a removed key runs KEY_OFF_MS after the store took the manifest
#     without it, or after the end of a fault of the store that came before that
#   - in any 5 s no more requests of a customer run than its quota allows
#   - in calm, of customers within their quotas fewer than 1 call in 500 gets 429
# Without customers in every fourth seed, so that calls without keys are covered too.
CUSTOMERS=$((SEED % 4))
# 2.5 s, in which a manifest has to be in force, and as much for what a fault delays;
# manifest_in_force allows the same 5 s.
KEY_OFF_MS=5000
# How long a key is held, and removed after the time in which it has to be off.
KEY_HELD_MS=2000 KEY_CHECKED_MS=2000
QUOTA_WINDOW_MS=5000 CALM_S=3
# Customer "over" calls over a quota of 20/s with about eight times that; "small" has
# one caller, of less than 5/s. "steady" has all other callers.
OVER_RATE=20 SMALL_RATE=8 STEADY_RATE=$((300 * HOSTS)) OVER_HOSTS=4
auth=() key_held=1 key_since=0 key_due_ms=0

bearer() { printf 'Authorization: Bearer key-of-%s-1' "$1"; }
print_customer() { # NAME KEYS [RATE]
	printf '{"name":"%s","api-keys":[%s]%s}' "$1" "$2" \
		"${3:+,\"rate-per-s\":$3,\"burst\":$3}"
}
# Sets the list that put_manifest writes. The key of "moving" is in it while it is held.
set_customers() {
	test $CUSTOMERS != 0 || return 0
	auth=(-H "$(bearer steady)" -H "Tenant: forged")
	local key='"key-of-moving-1"'
	test $key_held = 1 || key=
	customers="[$(print_customer steady '"key-of-steady-1"' $STEADY_RATE),$(
		print_customer over '"key-of-over-1"' $OVER_RATE),$(
		print_customer small '"key-of-small-1"' $SMALL_RATE),$(
		print_customer moving "$key")]"
}
# call_soak: call_host with the key of "steady" and a forged name.
call_soak() { call_host "$1" "$2" "$3" ${auth[@]+"${auth[@]}"} "${@:4}"; }
# keys_in_force: whether all hosts accept the key of "moving", or refuse it if removed.
keys_in_force() {
	local i expected=$((key_held ? 200 : 401))
	for i in $(all_hosts); do
		test "$(call_host "$i" /safe/a "moving-end$RANDOM$RANDOM" \
			-o /dev/null -H "$(bearer moving)")" = " $expected" || return
	done
}
# Ends the time in which a removed key may not run anything: a line "from to" in
# "removals".
end_removal() {
	test "$key_held" = 1 || say "$key_due_ms $(now_ms)" >>"$WORK/removals"
}
# note_store_fault BEGAN-MS: a fault of the store has ended. It delays what had not to
# be in force when it began.
note_store_fault() {
	test "$1" -ge $key_due_ms || key_due_ms=$(($(now_ms) + KEY_OFF_MS))
}
# turn_key HELD: removes the key of "moving" (0), or gives it back (1).
turn_key() {
	say "$(date +%T) key held: $1" >>"$WORK/faults"
	end_removal
	key_held=$1
	put_next_manifest || put_next_manifest ||
		fail "the store does not take the manifest with other keys"
	key_since=$(now_ms)
	key_due_ms=$((key_since + KEY_OFF_MS))
}
# customer_faults: removes or gives back the key when it is time. Takes no random number.
customer_faults() {
	test $CUSTOMERS != 0 || return 0
	if test $key_held = 1; then
		test $(($(now_ms) - key_since)) -lt $KEY_HELD_MS || turn_key 0
	else
		test $(($(now_ms) - key_due_ms)) -lt $KEY_CHECKED_MS || turn_key 1
	fi
}
# start_customer NAME HOST [PAUSE-MS]: a caller that keeps its connection.
start_customer() {
	start_process "customer_$1$2" "$BIN/tool_caller" "127.0.0.1:$((callers_port + $2))" \
		"$1-$2" "key-of-$1-1" "${3:-5}"
	kept_pids="$kept_pids $PID"
}
start_customers() {
	test $CUSTOMERS != 0 || return 0
	local i
	for i in $(seq 0 $((HOSTS < OVER_HOSTS ? HOSTS - 1 : OVER_HOSTS - 1))); do
		start_customer over $i
		start_customer moving $i 50
	done
	start_customer small 0 200
}
# calm_down: after the last fault. The key is given back and removed; then nothing
# happens for a while.
calm_down() {
	test $CUSTOMERS != 0 || return 0
	turn_key 1
	within 5 keys_in_force || { cat "$WORK/faults"; fail "seed $SEED: a returned key is refused"; }
	turn_key 0
	within 5 keys_in_force || { cat "$WORK/faults"; fail "seed $SEED: a removed key is accepted"; }
	sleep $((KEY_OFF_MS / 1000))
	calm_from=$(now_ms)
	sleep $CALM_S
	calm_to=$(now_ms)
	end_removal
}
check_keys() {
	awk 'FILENAME == ARGV[1] { n++; from[n] = $1; to[n] = $2; bound += $2 > $1; next }
		$1 == "notice" { next }
		{ name = $1; sub(/-.*/, "", name)
		  if (name !~ /^(over|small|moving)$/) name = "steady" }
		$4 != name { print "another customer", $0; bad++ }
		$5 != "clean" { print "a key at a server", $0; bad++ }
		name == "moving" { runs++; for (i = 1; i <= n; i++)
			if ($3 >= from[i] && $3 < to[i]) {
				print "a removed key", $0, "off from", from[i], "to", to[i]; bad++ } }
		END { printf "%d removals of a key that bound, %d runs with that key, %d wrong runs\n", bound, runs, bad
			exit bad > 0 || !bound || !runs }' "$WORK/removals" "$WORK/runs"
}
check_quota() { # CUSTOMER RATE
	grep "^$1-" "$WORK/runs" | sort -k3n | awk -v name="$1" -v window=$QUOTA_WINDOW_MS \
		-v allowed=$((($2 * QUOTA_WINDOW_MS / 1000 + $2) * 11 / 10 + 20)) '
		# A request that is tried again is one request.
		seen[$1]++ { next }
		{ at[++last] = $3
		  while ($3 - at[first + 1] >= window) first++
		  if (last - first > most) { most = last - first; since = at[first + 1] } }
		END { printf "%d requests of %s, at most %d of %d in a window, from %d on\n", last, name, most, allowed, since
			exit most > allowed || !last }'
}
check_calm() {
	awk -v from="$calm_from" -v to="$calm_to" '
		{ name = $2; sub(/-.*/, "", name); sub(/[0-9]+$/, "", name) }
		name == "over" && $5 >= from && $5 < to { over += $6 == 429 }
		name !~ /^(k|small)$/ || $5 < from || $5 >= to { next }
		{ calls[name]++; refused[name] += $6 == 429 }
		END { for (name in calls) {
				printf "calm: %d calls of %s, %d got 429\n", calls[name], name, refused[name]
				bad += refused[name] * 500 >= calls[name] && refused[name] }
			printf "calm: %d calls over a quota got 429\n", over
			exit bad > 0 || !calls["k"] || !calls["small"] || !over }' \
		"$WORK"/caller*.out "$WORK"/customer_*.out
}
# check_customers: compares what ran with what customers may have.
check_customers() {
	test $CUSTOMERS != 0 || return 0
	check_keys || { cat "$WORK/faults"; fail "seed $SEED: keys or names of customers"; }
	check_quota over $OVER_RATE && check_quota small $SMALL_RATE ||
		{ cat "$WORK/faults"; fail "seed $SEED: a customer got more than its quota"; }
	check_calm || { cat "$WORK/faults"; fail "seed $SEED: a customer within its quota was refused"; }
}
