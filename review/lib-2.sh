# Functions of the scripts in review/6 to review/10. Everything listens on loopback.
# A script that sources this has the repository's root as its working directory.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
PROGRAM=target/jackdawworks
TOOLS=build/release
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d)
PIDS=
say() { printf '%s\n' "$*"; }
end_all() {
	local pid
	for pid in $PIDS; do kill -9 "$pid" 2>/dev/null; done
	for pid in $PIDS; do wait "$pid" 2>/dev/null; done
	rm -rf "$WORK"
}
trap end_all EXIT
# The case could not run.
cannot_run() {
	say "cannot run: $*"
	exit 2
}
for program in $PROGRAM $TOOLS/tool_platform $TOOLS/tool_upstream; do
	test -x "$program" || cannot_run "$program is missing, see review/build-2.sh"
done
now_ms() { awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime; }
is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
# A range of 200 ports in which nothing listens on those that are used.
pick_ports() {
	local try port
	for try in $(seq 50); do
		PORT_BASE=$((18000 + RANDOM % 60 * 200))
		for port in 0 1 2 3 20 21 22 23 40 41 42 43 60 61 62 63 80 81 82 83 \
			100 101 102 103 24 25 26; do
			is_free $((PORT_BASE + port)) || continue 2
		done
		return
	done
	cannot_run "no free ports"
}
pick_ports
store=127.0.0.1:$PORT_BASE
server_address() { say "127.0.0.1:$((PORT_BASE + 20 + $1))"; }
front_address() { say "127.0.0.1:$((PORT_BASE + 40 + $1))"; }
ready_address() { say "127.0.0.1:$((PORT_BASE + 60 + $1))"; }
# start NAME COMMAND...: in the background; sets pid_NAME.
start() {
	local name=$1
	shift
	"$@" >"$WORK/$name.out" 2>"$WORK/$name.err" &
	PIDS="$PIDS $!"
	eval "pid_$name=$!"
}
# within SECONDS COMMAND...: repeats COMMAND until it succeeds.
within() {
	local until=$(($(now_ms) + $1 * 1000))
	shift
	while test "$(now_ms)" -lt $until; do
		"$@" && return
		sleep 0.05
	done
	return 1
}
answers_200() {
	test "$(curl -s -m 2 -o /dev/null -w '%{http_code}' "$1")" = 200
}
start_store() {
	start store $TOOLS/tool_platform "$store"
	within 10 answers_200 "$store/stats" || cannot_run "no store"
}
# put_row TABLE KEY VALUE
put_row() {
	local value status
	value=$(printf '%s' "$3" | base64 -w0)
	status=$(curl -s -m 2 -o /dev/null -w '%{http_code}' \
		"$store/jackdawworks/rows-tx" -d '{"precondition":[],"remove":[],
		"put":[{"table":"'"$1"'","part":"","key":"'"$2"'","value":"'"$value"'"}]}')
	test "$status" = 200 || cannot_run "the store answers $status"
}
# put_server I SERVICE [SLOTS]: the row of server I, as the server writes it.
put_server() {
	put_row servers "s$1" '{"service":"'"$2"'","address":"'"$(server_address "$1")"'",
		"zone":"gs-baton","version":"v1","slots":'"${3:-6}"',"state":"ready",
		"warmup-left-s":0,"sequence":1}'
}
# route NAME PREFIX KIND SERVICE [MAX-ATTEMPTS]
route() {
	printf '{"name":"%s","host":"x.example","prefix":"%s","route-kind":"%s",
		"timeout-s":2,"target-latency-s":0.5,"priority":1,
		"max-attempts":%s,"service":"%s"}' "$1" "$2" "$3" "${5:-2}" "$4"
}
# put_manifest VERSION ROUTES SERVICE [TENANTS]
put_manifest() {
	put_row op config '{"version":'"$1"','"${4:+\"tenants\":$4,}"'"routes":['"$2"'],
		"services":[{"name":"'"$3"'","health-check-path":"/health",
		"max-connections":260}],"limits":{"max-header-bytes":16384,
		"max-body-bytes":1048576,"header-timeout-s":10,"idle-timeout-s":15}}'
}
# write_settings I [FIRST-START]: what the template of the deploy file makes of the
# settings of a machine; the bounds are those of the site that claim.txt names.
write_settings() {
	cat >"$WORK/front$1.yaml" <<-END
	host: front-gs-baton-$1
	zone: gs-baton
	log_level: info
	trusted_network: true
	stop_grace_ms: 2500
	stop_limit_s: "6"
	callers: {address: "$(front_address "$1")", plaintext: true}
	health: {address: "$(ready_address "$1")"}
	metrics: {address: "127.0.0.1:$((PORT_BASE + 80 + $1))"}
	platform:
	  address: "$store"
	  plaintext: true
	  follow: true
	  retry_slack: 62
	  relay: "127.0.0.1:$((PORT_BASE + 100 + $1))"
	  processor_share: "0.2"
	  memory_mb: "260"
	  change_limit_s: "2"
	  leaving_limit_s: "2"
	  quota_window_s: 5
	  quota_over: "0.1"
	  quota_slack: 20
	${2:+  first_start: true}
	END
}
# start_front I [FIRST-START]: starts the program on machine I.
start_front() {
	write_settings "$@"
	start "front$1" $PROGRAM serve "$WORK/front$1.yaml"
}
wait_front() {
	within 20 answers_200 "$(ready_address "$1")/jackdawworks/readiness" ||
		cannot_run "front $1 is not ready"
}
