#!/bin/bash
# Guards against versions and servers that never come into force because a name is
# long or there are many, against names that are cut so that two become one, and
# against log lines and metrics that break at them. The pages bound keys at 200 bytes
# and nothing else.
set -u
PORT_BASE=${PORT_BASE:-29400}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=3
SERVERS=4 # two of each service, whose names differ at their ends only

repeat() { head -c "$2" /dev/zero | tr '\0' "$1"; }
label=$(repeat n 3000)
prefix=/$(repeat p 1500)
health=/health/$(repeat h 2000)
id_prefix="s $(repeat i 190)"
put_long_server() { # I SERVICE ZONE
	put_row servers "$id_prefix$1" '{"service":"'"$2"'","address":"127.0.0.1:'$((servers_port + $1))'","zone":"'"$3"'","version":"v1","slots":6,"state":"ready","warmup-left-s":0,"sequence":1}' ||
		fail "the store did not take the row of server $1"
}
# put_long_manifest VERSION SERVICE: the second route goes to SERVICE.
put_long_manifest() {
	printf '%s' '{"version":'"$1"',"routes":['"$(print_route "r$label-1" /desk/ safe "$label-1")","$(print_route "r$label-2" "$prefix/2/" safe "$2")"'],"services":[{"name":"'"$label-1"'","health-check-path":"'"$health"'","max-connections":200},{"name":"'"$label-2"'","health-check-path":"'"$health"'","max-connections":200}],"limits":{"idle-timeout-s":15}}' |
		base64 -w0 >"$WORK/manifest"
	printf '%s' '{"precondition":[],"remove":[],"put":[{"table":"op","part":"","key":"config","value":"' >"$WORK/put"
	cat "$WORK/manifest" >>"$WORK/put"
	printf '"}]}' >>"$WORK/put"
	test "$(store_request rows-tx "@$WORK/put")" = 200
}
# goes_to HOST PATH SERVERS: whether six calls are served by these servers alone.
goes_to() {
	local n answer
	for n in 1 2 3 4 5 6; do
		answer=$(call_host "$1" "$2" "c$1-$BASHPID-$RANDOM")
		case $answer in
		"$id_prefix"[$3]" 200") ;;
		*) return 1 ;;
		esac
	done
}

start_platform || exit 1
for i in $(seq 0 $((SERVERS - 1))); do
	start_process "server$i" "$BIN/tool_upstream" \
		"127.0.0.1:$((servers_port + i))" "$id_prefix$i" 5
	wait_http "127.0.0.1:$((servers_port + i))" /health
	put_long_server "$i" "$label-$((i / 2 + 1))" "z$(repeat z 300)$((i % 2))"
done
# Zones of servers that nobody calls come before theirs.
for i in $(seq 40); do
	put_row servers "other$i" '{"service":"other","address":"127.0.0.1:9","zone":"zone'"$i"'","version":"v1","slots":100000000,"state":"ready","warmup-left-s":1e7,"sequence":1}'
done
put_long_manifest 1 "$label-1" || fail "the store did not take the manifest"
start_followers $(all_hosts)
for i in $(all_hosts); do
	check "host $i: the short path is not served by the first service" \
		goes_to "$i" /desk/a 01
	check "host $i: the long path is not served by the first service" \
		goes_to "$i" "$prefix/2/a" 01
done
put_long_manifest 2 "$label-2" || fail "the store did not take version 2"
sleep 2
for i in $(all_hosts); do
	check "host $i: the long path is not served by the second service" \
		goes_to "$i" "$prefix/2/a" 23
	check "host $i: the short path is not served by the first service" \
		goes_to "$i" /desk/a 01
done

# Call ids of callers may be long as well: two that differ at their ends.
long_id=$(repeat c 600)
for n in 1 2; do
	answer=$(call_host 0 /desk/a "$long_id$n")
	check "a call with a long id is answered \"${answer##*i}\"" \
		test "${answer##* }" = 200
done
sleep 0.3
check "explain does not tell long ids apart" test "$(
	"$BIN/jackdawworks" explain "${long_id}1" "$WORK/entry0.log" |
		grep -c '^\*.* end ')" = 1

# Names of services are whole in the metrics, and short in the log with a sign.
curl -s "127.0.0.1:$metrics_port/metrics" >"$WORK/metrics"
for n in 1 2; do
	check "the metrics lack service $n" \
		grep -q "count{service=\"$label-$n\"" "$WORK/metrics"
done
check "the log has no sign of a shortened name" \
	grep -q '"service":"nnn*\.\.\. (3002 bytes, sha256 ' "$WORK/entry0.log"
longest=$(cat "$WORK"/entry*.log | awk '{ if (length($0) > n) n = length($0) } END { print n }')
check "the log has a line of $longest bytes" test "$longest" -lt 4096
report_failures
