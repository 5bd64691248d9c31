#!/bin/bash
# Guards against orders that run twice because the platform's store came back from
# a copy that lacks their claims: orders that were completed, orders that are at a
# server meanwhile, and the first orders that a host sees after the restore.
set -u
PORT_BASE=${PORT_BASE:-23700}
. "$(dirname "$0")/orders.sh"

# place HOST KEY: sends an order; prints "STATUS OUTCOME".
place() { post_order "$1" "$2" x | cut -d' ' -f1,2; }
# place_all FIRST LAST SHIFT: sends orders kFIRST to kLAST, each at another host.
place_all() {
	for k in $(seq "$1" "$2"); do place $(((k + $3) % HOSTS)) "k$k" >/dev/null; done
}
runs() { grep -c "^run k$1 " "$WORK/ordering.runs"; }
# check_runs WHAT FIRST LAST: each of these orders has run once.
check_runs() {
	for k in $(seq "$2" "$3"); do
		check "order k$k ($1) ran $(runs "$k") times" test "$(runs "$k")" = 1
	done
}

start_orders
place_all 1 5 0
platform_fault '{"copy":true}'
place_all 6 30 0

# The last ten are at a server while the store is restored.
all_servers '{"factor": 200}'
for k in $(seq 31 40); do
	place $((k % HOSTS)) "k$k" >"$WORK/k$k.first" &
	placed="${placed:-} $!"
done
sleep 0.2
platform_fault '{"restore":true}'
# Their callers try again at other hosts, which hear of the restore by this.
place_all 6 30 1
wait $placed
all_servers '{"factor": 1}'
for i in 0 1 2; do
	check "host $i takes no orders any more" within 10 accepts_orders $i
done
for shift in 1 2; do place_all 1 40 $shift; done
check_runs "in the copy" 1 5
check_runs "lost and completed" 6 30
check_runs "lost while it ran" 31 40
for k in $(seq 31 40); do
	check "the first call of k$k got $(cat "$WORK/k$k.first")" \
		grep -q '^200 completed' "$WORK/k$k.first"
	later=$(place $(((k + 1) % HOSTS)) "k$k")
	check "a later call of k$k got $later" test "$later" = "200 completed"
done
report_failures
