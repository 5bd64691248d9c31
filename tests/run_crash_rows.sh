#!/bin/bash
# Guards against a request that crashes servers again because the store came back from
# a copy without its block and then all hosts started anew, and against rows of blocks
# and crashes that stay in the store for good after their end.
set -u
PORT_BASE=${PORT_BASE:-22000}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=3 SERVERS=10 WORK_MS=30
KEY=0123456789abcdef0123456789abcdef

# row_names: the names of the rows of blocks and crashes, one a line.
row_names() {
	curl -s "$platform_address/jackdawworks/rows-get?table=hosts&part=" |
		grep -oE '(blocked|crashed)/[0-9a-f]+(/[0-9]+)?' | sort
}
# try_each COUNT: sends the request to one host after the other.
try_each() { call_in_turn /desk/deadly "deadly-$SECONDS" "$1" 0.3 $(all_hosts); }
ended_rows_removed() { ! row_names | grep -q "$KEY"; }

start_deployment "$(print_route desk /desk/ safe desk)"
start_followers $(all_hosts)
sleep 1
platform_fault '{"copy": true}'
try_each 5
check "the store has no row of the block" test "$(row_names | grep -c blocked)" = 1
platform_fault '{"down": true}'
sleep 0.5
platform_fault '{"down": false, "restore": true}'
check "the block was not written again" \
	within 8 eval 'test "$(row_names | grep -c blocked)" = 1'
before=$(live_servers)
for i in $(all_hosts); do kill_process "entry$i"; done
start_followers $(all_hosts)
sleep 1
try_each 3
check "$((before - $(live_servers))) servers crashed after a restore and a restart" \
	test "$(live_servers)" = "$before"

# Of ended rows, those of a host that is gone among them.
lasting=$(row_names)
put_row hosts "blocked/$KEY" '{"until_ms":1}'
for n in $(seq 60); do put_row hosts "crashed/$KEY/$n" '{"until_ms":1}'; done
check "the store does not have the ended rows" test "$(row_names | grep -c "$KEY")" = 61
# A host reads the table when it starts.
for n in $(seq 60); do
	kill_process entry0
	start_follower 0
	wait_ready 0 || fail "host 0 is not ready again"
	within 1 ended_rows_removed && break
done
check "$(row_names | grep -c "$KEY") ended rows have stayed" ended_rows_removed
check "rows that have not ended were removed" test "$(row_names | grep -v "$KEY")" = "$lasting"
report_failures
