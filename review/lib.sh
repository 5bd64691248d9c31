# Functions of the scripts under review/. Sourced with the folder of the case in CASE.
# All processes are started here on loopback and ended by their ids.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
STAND=build/review/stand
WORK=$(mktemp -d)
RECORD=$CASE/record.txt
PIDS=
export N_CALL=attempt-id N_TIME_LEFT=deadline-ms N_EXPECT=expect-instance
export N_SIGNATURE=response-signature N_ID=instance-id N_LOAD=server-load

stop_all() {
	for pid in $PIDS; do kill -9 "$pid" 2>/dev/null; done
	for pid in $PIDS; do wait "$pid" 2>/dev/null; done
	rm -rf "$WORK"
}
trap stop_all EXIT
record() { printf '%s\n' "$*" >>"$RECORD"; }
cannot_run() { record "cannot run: $*"; echo "cannot run: $*"; exit 2; }
for program in "$STAND" build/release/tool_platform target/jackdawworks; do
	test -x "$program" || { echo "cannot run: no $program"; exit 2; }
done

# start NAME COMMAND...: in the background, with its output in $WORK/NAME.
start() {
	local name=$1
	shift
	"$@" >"$WORK/$name" 2>&1 &
	PIDS="$PIDS $!"
	eval "pid_$name=$!"
}
is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
# Sets PORT to the first of 60 ports of which none is in use.
choose_ports() {
	local i used
	for PORT in $(seq $((20000 + RANDOM % 40 * 200)) 60 32000); do
		used=
		for i in $(seq 0 59); do
			is_free $((PORT + i)) || used=1
		done
		test "$used" || return 0
	done
	cannot_run "no free ports"
}
# until_ok SECONDS COMMAND...
until_ok() {
	local end=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		test $SECONDS -lt $end || return 1
		sleep 0.1
	done
}
start_store() {
	start store build/release/tool_platform "127.0.0.1:$PORT"
	until_ok 5 put_rows '{"precondition":[],"put":[],"remove":[]}' ||
		cannot_run "the store does not start"
}
put_rows() { # TRANSACTION
	printf '%s' "$1" |
		"$STAND" post "$PORT" /jackdawworks/rows-tx >/dev/null
}
put_row() { # TABLE KEY VALUE
	put_rows '{"precondition":[],"remove":[],"put":[{"table":"'"$1"'","part":"","key":"'"$2"'","value":"'"$(printf '%s' "$3" | base64 -w0)"'"}]}' ||
		cannot_run "the store does not take $1/$2"
}
put_server() { # I STATE [SERVICE]
	put_row servers "i-$1" '{"service":"'"${3:-ordering}"'","address":"127.0.0.1:'$((PORT + 10 + $1))'","zone":"gs-baton","version":"v1","slots":6,"state":"'"$2"'","warmup-left-s":0,"sequence":1}'
}
put_manifest() { # VERSION ROUTES
	put_row op config '{"version":'"$1"',"routes":['"$2"'],"services":[{"name":"ordering","health-check-path":"/health","max-connections":260,"protocol":"h1","tls":false},{"name":"catalogue","health-check-path":"/health","max-connections":260,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}'
}
# start_host I: with the settings that deploy/settings.yaml gives on a small site.
start_host() {
	cat >"$WORK/host$1.yaml" <<-END
	host: front-gs-baton-$1
	zone: gs-baton
	log_level: info
	trusted_network: true
	stop_grace_ms: 2500
	stop_limit_s: "6"
	callers: {address: "127.0.0.1:$((PORT + 30 + $1))", plaintext: true}
	health: {address: "127.0.0.1:$((PORT + 35 + $1))"}
	metrics: {address: "127.0.0.1:$((PORT + 40 + $1))"}
	platform:
	  address: "127.0.0.1:$PORT"
	  plaintext: true
	  follow: true
	  retry_slack: 62
	  relay: "127.0.0.1:$((PORT + 45 + $1))"
	  processor_share: "0.2"
	  change_limit_s: "2"
	  leaving_limit_s: "2"
	  first_start: true
	END
	start "host$1" target/jackdawworks serve "$WORK/host$1.yaml"
}
wait_ready() { # I
	until_ok 15 "$STAND" ready $((PORT + 35 + $1)) ||
		cannot_run "host $1 does not get ready"
}
