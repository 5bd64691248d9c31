#!/bin/bash
# Guards against a request that crashes servers again after a restart of all hosts:
# because the crashes below three were kept nowhere else, or because the store was
# down when the request was blocked.
set -u
PORT_BASE=${PORT_BASE:-28300}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=3 SERVERS=12 WORK_MS=30

restart_hosts() {
	for i in $(all_hosts); do kill_process "entry$i"; done
	start_followers $(all_hosts)
	sleep 0.5
}
# try_each PATH COUNT: sends the request to one host after the other.
try_each() { call_in_turn "$1" "$1-$SECONDS" "$2" 0.5 $(all_hosts); }

start_deployment "$(print_route desk /desk/ safe desk),$(print_route order /order/ unsafe desk)"
start_followers $(all_hosts)
sleep 1

# An order is sent once for each call, so two calls crash two servers.
try_each /order/deadly 2
check "two calls crashed not 2 servers" test "$(live_servers)" = $((SERVERS - 2))
restart_hosts
try_each /order/deadly 4
check "$((SERVERS - $(live_servers))) servers crashed, with a restart after 2" \
	test "$(live_servers)" -ge $((SERVERS - 3))

platform_fault '{"down": true}'
try_each /desk/deadly 4
platform_fault '{"down": false}'
sleep 3
before=$(live_servers)
restart_hosts
try_each /desk/deadly 3
check "$((before - $(live_servers))) servers crashed under a request that had been blocked" \
	test "$(live_servers)" = "$before"
report_failures
