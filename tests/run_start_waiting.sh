#!/bin/bash
# The whole system starts for the first time, and its first neighbour does not answer.
# Guards against hosts that read the changes of the hosts table while they wait for
# their first tables from another host. They have just read the whole of it, and a start
# costs two calls to the store a host: these calls were a third one of most hosts.
set -u
PORT_BASE=${PORT_BASE:-23200}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=12 SERVERS=1 WORK_MS=5
# The hosts table is read after 2 s, and the store after 2.5 s more at the latest.
START_S=10
# The host that reads the store first may be polled by nobody for a moment.
MAX_CALLS=1

start_deployment "$(print_route desk /desk/ safe desk)"
silent=127.0.0.1:$((peers_port + 90))
start_process deaf "$BIN/tool_raw" deaf "$silent"
put_row hosts entry-deaf '{"zone":"gs-a","address":"'"$silent"'","rank":1}' ||
	fail "the store did not take the row of the silent host"
first_start=true
for i in $(all_hosts); do start_follower "$i"; done
check "the hosts do not have their tables" within $START_S in_force 1 $(all_hosts)
calls=$(store_stat hosts_changes)
say "$HOSTS hosts read the changes of the hosts table $calls times while they started"
check "$HOSTS hosts read the changes of the hosts table $calls times while they started" \
	test "$calls" -le $MAX_CALLS
report_failures
