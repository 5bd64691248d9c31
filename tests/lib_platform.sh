#!/bin/bash
# Functions for runs in which entry hosts take their routes and servers from the
# platform ("follow: true"), with test doubles of its store (tool_platform) and
# of its servers (tool_upstream). Sourced like lib.sh, which it includes.
. "$(dirname "${BASH_SOURCE[0]}")/lib.sh"

metrics_port=$((operators_port + 50))

fail() { say "FAILED: $*"; exit 1; }
# store_request PATH DATA: prints the status of a write to the store. curl gives
# up after 2 s, because the answer to a write may be lost.
store_request() {
	curl -s -m 2 -o /dev/null -w '%{http_code}' \
		"$platform_address/jackdawworks/$1" -d "$2"
}
put_row() { # TABLE KEY VALUE
	value=$(printf '%s' "$3" | base64 -w0)
	test "$(store_request rows-tx '{"precondition":[],"remove":[],"put":[{"table":
		"'"$1"'","part":"","key":"'"$2"'","value":"'"$value"'"}]}')" = 200
}
drop_row() { # TABLE KEY
	test "$(store_request rows-tx '{"precondition":[],"put":[],"remove":[{"table":
		"'"$1"'","part":"","key":"'"$2"'"}]}')" = 200
}
# put_server I STATE [SERVICE]: writes the row of server I, in $server_zone, which is
# cold for $warmup_left_s.
put_server() {
	put_row servers "s$1" '{"service":"'"${3:-desk}"'","address":"127.0.0.1:'$((servers_port + $1))'","zone":"'"${server_zone:-gs-a}"'","version":"v1","slots":6,"state":"'"$2"'","warmup-left-s":'"${warmup_left_s:-0}"',"sequence":1}'
}
print_route() { # NAME PREFIX KIND SERVICE
	printf '{"name":"%s","host":"x.example","prefix":"%s","route-kind":"%s",
		"timeout-s":2,"target-latency-s":0.5,"priority":1,
		"max-attempts":2,"service":"%s"}' "$1" "$2" "$3" "$4"
}
# put_manifest VERSION ROUTES: writes the manifest, which holds the routes and
# services of all hosts, and the list "customers" if it is set; $desk_fields are more
# members of service desk.
put_manifest() {
	put_row op config '{"version":'"$1"','"${customers:+\"tenants\":$customers,}"'"routes":['"$2"'],"services":[
		{"name":"desk","health-check-path":"/health",'"${desk_fields:-}"'
		"max-connections":'"${max_connections:-200}"'},{"name":"other",
		"health-check-path":"/health","max-connections":200}],
		"limits":{"idle-timeout-s":15'"${limits:+,$limits}"'}}'
}
start_upstream() { # I WORK-MS
	start_process "server$1" "$BIN/tool_upstream" \
		"127.0.0.1:$((servers_port + $1))" "s$1" "$2"
	wait_http "127.0.0.1:$((servers_port + $1))" /health
}
# store_stat NAME: prints a number that the store counts.
store_stat() {
	curl -s "$platform_address/stats" | sed 's/.*"'"$1"'": *\([0-9]*\).*/\1/'
}
# live_servers: how many of the SERVERS servers run.
live_servers() {
	local n=0 s pid
	for s in $(seq 0 $((SERVERS - 1))); do
		eval "pid=\$pid_server$s"
		kill -0 "$pid" 2>/dev/null && n=$((n + 1))
	done
	echo $n
}
# start_upstreams: starts SERVERS servers, each with its row, whose work takes WORK_MS.
start_upstreams() {
	local s
	for s in $(seq 0 $((SERVERS - 1))); do
		start_upstream "$s" "$WORK_MS"
		put_server "$s" ready ||
			fail "the store did not take the row of server $s"
	done
}
# start_deployment ROUTES: starts the store and SERVERS servers, with a manifest of
# these routes.
start_deployment() {
	start_platform || exit 1
	start_upstreams
	put_manifest 1 "$1" || fail "the store did not take the manifest"
}
# set_limit I TEXT: the server at servers_port + I names TEXT as its limit of
# requests a second; empty: none.
set_limit() {
	curl -s -o /dev/null -X PUT -d "$2" \
		"127.0.0.1:$((servers_port + $1))/limit"
}
# set_cold I MS: the server is cold for so long, and says so in its health check
# responses.
set_cold() {
	curl -s -o /dev/null -X PUT -d "$2" \
		"127.0.0.1:$((servers_port + $1))/cold"
}
# cut_source SOURCE MODE: cuts hosts with that source address off from all SERVERS
# servers; see tool_upstream.c. heal_source: ends that.
cut_source() {
	local s
	for s in $(seq 0 $((SERVERS - 1))); do
		curl -s -o /dev/null -X PUT -d "$1 $2" \
			"127.0.0.1:$((servers_port + s))/cut"
	done
}
heal_source() { cut_source none none; }
# start_follower I: starts entry host I, which follows the store. The address
# for other hosts ("relay") is peers_port + I. "more_settings" is a line of its settings.
start_follower() {
	cat >"$WORK/entry$1.yaml" <<-END
	host: entry-$1
	zone: ${host_zone:-gs-a}
	log_level: info
	stop_grace_ms: 3000
	stop_limit_s: "${stop_limit_s:-0}"
	callers: {address: "127.0.0.1:$((callers_port + $1))", ${CALLERS_TLS:-plaintext: true}}
	health: {address: "127.0.0.1:$((operators_port + $1))"}
	metrics: {address: "127.0.0.1:$((metrics_port + $1))"}
	platform:
	  address: "$platform_address"
	  plaintext: true
	  follow: true
	  relay: "127.0.0.1:$((peers_port + $1))"
	  server_source: "${server_source:-}"
	  processor_share: "${processor_share:-0.2}"
	  first_start: ${first_start:-false}
	  change_limit_s: "${change_limit_s:-0}"
	  leaving_limit_s: "${change_limit_s:-0}"
	  quota_window_s: 5
	  quota_over: "0.1"
	  quota_slack: 20
	  key_limit_s: "${key_limit_s:-0}"
	${more_settings:-}
	END
	test -z "${memory_mb:-}" ||
		say "  memory_mb: \"$memory_mb\"" >>"$WORK/entry$1.yaml"
	start_process "entry$1" "$BIN/jackdawworks" serve "$WORK/entry$1.yaml"
}
# wait_ready I: waits until the health check of host I is answered with 200.
# Fails after 100 attempts, 0.05 s apart.
wait_ready() {
	for _ in $(seq 100); do
		test "$(curl -s -o /dev/null -w '%{http_code}' \
			"127.0.0.1:$((operators_port + $1))/health")" = 200 &&
			return
		sleep 0.05
	done
	return 1
}
# all_hosts: prints the numbers of HOSTS hosts.
all_hosts() { seq 0 $((HOSTS - 1)); }
# start_followers I...: starts these hosts and waits until they are ready.
start_followers() {
	local i
	for i in "$@"; do start_follower "$i"; done
	for i in "$@"; do wait_ready "$i" || fail "host $i is not ready"; done
}
# in_force VERSION I...: whether these hosts have that version of the manifest.
in_force() {
	local i
	for i in "${@:2}"; do
		grep -q "version $1 in force" "$WORK/entry$i.log" || return
	done
}
# call_host I PATH ID [CURL-OPTIONS]: sends a call to host I. Prints the body,
# which is the id of the server that answered, then the status.
call_host() {
	curl -s -m 5 -H 'Host: x.example' -H "Attempt-Id: $3" \
		-H 'Deadline-Ms: 2000' -w ' %{http_code}' "${@:4}" \
		"127.0.0.1:$((callers_port + $1))$2"
}
# host_answers I PATH [STATUS]: whether a call has that status, or else 200.
host_answers() {
	test "$(call_host "$1" "$2" "id-$RANDOM$RANDOM" -o /dev/null)" = " ${3:-200}"
}
# hosts_answer HOSTS PATH [STATUS]: the same at all of them.
hosts_answer() {
	local i
	for i in $1; do host_answers "$i" "${@:2}" || return; done
}
# call_at_once I COUNT ID: sends calls, and does not wait for them.
call_at_once() {
	local n
	for n in $(seq "$2"); do
		call_host "$1" /desk/a "$3-$n" -o /dev/null >/dev/null &
	done
}
# passes_on I PATH: sends four calls to host I; whether it has passed a call to another host.
passes_on() {
	local n
	for n in 1 2 3 4; do
		call_host "$1" "$2" "notice-$RANDOM" -o /dev/null >/dev/null &
	done
	sleep 0.2
	grep -q '"event":"forward"' "$WORK/entry$1.log"
}
# call_in_turn PATH ID COUNT PAUSE_S I...: sends calls, one after the other, each to the
# next of these hosts.
call_in_turn() {
	local n hosts=("${@:5}")
	for n in $(seq "$3"); do
		call_host "${hosts[n % ${#hosts[@]}]}" "$1" "$2-$n" -o /dev/null >/dev/null
		sleep "$4"
	done
}
# call_desk_until_done HOST: sends calls to the host, one after the other, until there
# is a file "done". Writes status and time of each to "callsHOST".
call_desk_until_done() {
	local n=0
	while test ! -e "$WORK/done"; do
		n=$((n + 1))
		call_host "$1" /desk/a "c$BASHPID-$n" -o /dev/null \
			-w '%{http_code} %{time_total}\n' >>"$WORK/calls$1"
	done 2>/dev/null
}
CUT_SOURCE=127.0.0.2
# start_hosts_to_cut CUT: starts HOSTS hosts and waits until they are ready. The first
# CUT of these have CUT_SOURCE as their address towards servers, and can be cut off by it.
start_hosts_to_cut() {
	local i
	for i in $(all_hosts); do
		server_source=$(test "$i" -lt "$1" && echo $CUT_SOURCE)
		start_follower "$i"
	done
	for i in $(all_hosts); do wait_ready "$i" || fail "host $i is not ready"; done
	sleep 1.5
}
# start_stranded_hosts ROUTES CUT: the same after the store and SERVERS servers, with a
# manifest of these routes.
start_stranded_hosts() {
	start_deployment "$1"
	start_hosts_to_cut "$2"
}
