#!/bin/bash
# Guards against calls that are cut off without an answer because a stopping host
# takes them although it may be killed before their deadline. Orders must be refused,
# as not run; those with an earlier deadline must still be taken and answered. Calls
# that may be repeated must be refused if their work would end too late, and no call
# may end with a broken connection, nor an order that runs with a refusal.
set -u
PORT_BASE=${PORT_BASE:-28000}
. "$(dirname "$0")/lib_platform.sh"
SERVERS=1 WORK_MS=1500 STOP_LIMIT_S=3

# order ID: sends an order whose deadline is 2 s away. Prints the status; "not-run"
# follows if the answer says when to come back.
order() { send /order/a "$1"; }
# send PATH ID [CURL-OPTIONS]
send() {
	say $(call_host 0 "$1" "$2" -X POST -D "$WORK/head-$2" -o /dev/null "${@:3}")
	grep -qi '^retry-after:' "$WORK/head-$2" && say not-run
}

start_deployment "$(print_route order /order/ unsafe desk),$(print_route inquiry /inquiry/ safe desk | sed 's/"timeout-s":2/"timeout-s":9/'),$(print_route slow /slow/ unsafe desk | sed 's/"timeout-s":2/"timeout-s":9/')"
stop_limit_s=$STOP_LIMIT_S start_followers 0

# So that the host knows how long the work takes.
for round in 1 2 3; do
	known=
	for n in 1 2 3 4; do
		send "/inquiry/$n" "know-$round-$n" >/dev/null &
		known="$known $!"
	done
	wait $known
done

send /inquiry/long long -H 'Deadline-Ms: 9000' -H 'X-Work: 9000' >"$WORK/long" &
long=$!
send /slow/long long-order -H 'Deadline-Ms: 9000' -H 'X-Work: 9000' >"$WORK/long-order" &
long_order=$!
sleep 0.2
kill -TERM "$pid_entry0"
(sleep $STOP_LIMIT_S; kill -9 "$pid_entry0" 2>/dev/null) &
order early >"$WORK/early" &
early=$!
sleep 1.6
check "an order that might be cut off is not refused" \
	test "$(order late | tr '\n' ' ')" = "503 not-run "
check "an inquiry that would be cut off is not refused" \
	test "$(send /inquiry/late inquiry-late | tr '\n' ' ')" = "503 not-run "
wait $early $long $long_order
check "an order that runs at the end of the stop is told: $(cat "$WORK/long-order")" \
	test "$(cat "$WORK/long-order")" = 504
check "a call that outlasted the stop was cut off without an answer: $(cat "$WORK/long")" \
	test "$(cat "$WORK/long")" = 504
check "an order with time enough is not answered" \
	test "$(cat "$WORK/early")" = 200
check "an order that was refused has run" test "$(grep -c "^late" "$WORK/server0.out")" = 0
report_failures
