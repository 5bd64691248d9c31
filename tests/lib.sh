# Functions that start the processes of a test run on loopback. Sourced by the
# tests, proofs, benchmarks and the demo with the directory of the built
# programs as the first argument. stop_all kills every process started here by
# its pid. Addresses are derived from PORT_BASE; runs that overlap in time need
# different ones.

BIN=${1:?directory of the built programs}
PORT_BASE=${PORT_BASE:-21000}
WORK=$(mktemp -d)
PIDS=
TOKEN=operator-token-for-tests

platform_address=127.0.0.1:$PORT_BASE
servers_port=$((PORT_BASE + 100))
callers_port=$((PORT_BASE + 300))
operators_port=$((PORT_BASE + 400))
peers_port=$((PORT_BASE + 500))

say() { printf '%s\n' "$*"; }

stop_all() {
	# Without those that have ended: their pids may be in use by others.
	for pid in $(jobs -rp); do
		case " $PIDS " in *" $pid "*) kill -9 "$pid" 2>/dev/null ;; esac
	done
	for pid in $PIDS; do wait "$pid" 2>/dev/null; done
	rm -rf "$WORK"
}
trap stop_all EXIT

# check WHAT COMMAND...: runs the command. If it fails, prints WHAT, which says
# what is checked, and increments "failures".
failures=0
check() {
	what=$1
	shift
	"$@" && return
	say "FAILED: $what"
	failures=$((failures + 1))
}
# report_failures: the last command of a test. Its status is that of the test.
report_failures() {
	say "failures: $failures"
	test $failures = 0
}

# now_ms: prints the time since the boot, in milliseconds.
now_ms() { awk '{ printf "%d\n", $1 * 1000 }' /proc/uptime; }
# within SECONDS COMMAND...: repeats COMMAND until it succeeds. Fails when the
# time is over.
within() {
	local until=$(($(date +%s%N) + ${1%.*} * 1000000000))
	shift
	while test "$(date +%s%N)" -lt $until; do
		"$@" && return
		sleep 0.05
	done
	return 1
}

# start_process NAME COMMAND...: runs COMMAND in the background. Sets PID and
# pid_NAME to its pid.
start_process() {
	name=$1
	shift
	# Entry hosts log to standard output and report startup errors on
	# standard error; both go to the log file.
	case $name in
	entry*) "$@" >"$WORK/$name.log" 2>&1 & ;;
	*) "$@" >"$WORK/$name.out" 2>"$WORK/$name.log" & ;;
	esac
	PID=$!
	PIDS="$PIDS $PID"
	eval "pid_$name=$PID"
}

# wait_http ADDRESS PATH: waits until the path is answered with status 200.
# Fails after 200 attempts, 0.05 s apart, which takes about 10 s.
wait_http() {
	for _ in $(seq 200); do
		test "$(curl -s -o /dev/null -w '%{http_code}' "$1$2")" = 200 &&
			return 0
		sleep 0.05
	done
	say "no answer with status 200 from $1$2" >&2
	return 1
}

start_platform() {
	start_process platform "$BIN/tool_platform" "$platform_address"
	wait_http "$platform_address" /stats || return 1
	# If the port is taken, the program exits and the process of another run
	# on the same ports has answered.
	kill -0 "$pid_platform" 2>/dev/null && return
	say "$platform_address is in use; set PORT_BASE" >&2
	return 1
}

platform_fault() { curl -s -o /dev/null -d "$1" "$platform_address/fault"; }

# start_servers NAME FIRST COUNT SLOTS ZONES MEAN_US: starts COUNT servers.
# FIRST is the offset of the first port from servers_port, MEAN_US the mean
# service time.
start_servers() {
	start_process "$1" "$BIN/tool_server" \
		"127.0.0.1:$((servers_port + $2))" "$3" "$4" "$5" "$6" \
		"$WORK/$1.runs"
	wait_http "127.0.0.1:$((servers_port + $2))" /stats
}

# server_control OFFSET JSON: sets the behaviour of the server at servers_port +
# OFFSET; see tool_server.c for the members of JSON.
server_control() {
	curl -s -o /dev/null -d "$2" "127.0.0.1:$((servers_port + $1))/control"
}

# write_settings I ZONE SEED-COUNT [EXTRA-LINES]: writes the settings of host I
# with the first SEED-COUNT hosts as seed peers.
write_settings() {
	{
		cat <<-END
		host: entry-$1
		zone: $2
		log_level: ${LOG_LEVEL:-info}
		random_seed: $((1000 + $1))
		stop_grace_ms: ${STOP_GRACE_MS:-500}
		callers: {address: "127.0.0.1:$((callers_port + $1))", ${CALLERS_TLS:-plaintext: true}}
		operators:
		  address: "127.0.0.1:$((operators_port + $1))"
		  ${OPERATORS_TLS:-plaintext: true}
		  token: $TOKEN
		peers:
		  address: "127.0.0.1:$((peers_port + $1))"
		  key: peer-key-for-tests
		  seeds:
		END
		for i in $(seq 0 $(($3 - 1))); do
			say "    - \"127.0.0.1:$((peers_port + i))\""
		done
		say "platform: {address: \"$platform_address\", ${PLATFORM_TLS:-plaintext: true}}"
		test -z "${4:-}" || say "$4"
	} >"$WORK/entry$1.yaml"
}

# start_host I ZONE HOST-COUNT [EXTRA-SETTINGS]: starts entry host I with the
# first HOST-COUNT hosts as seed peers.
start_host() {
	write_settings "$@"
	start_process "entry$1" "$BIN/jackdawworks" serve "$WORK/entry$1.yaml"
}

# operator_cli I COMMAND...: runs a command of jackdawworks against the
# operators' listener of host I.
operator_cli() {
	host=$1
	command=$2
	shift 2
	JACKDAWWORKS_TOKEN=$TOKEN "$BIN/jackdawworks" "$command" \
		--host "127.0.0.1:$((operators_port + host))" "$@"
}

# print_service NAME ROUTE FIRST COUNT SLOTS CONNECTIONS ZONES POLICY RULES:
# prints a service of a document. Its COUNT servers listen from servers_port +
# FIRST on and are spread over ZONES in turn. RULES are lines of YAML.
print_service() {
	cat <<-END
	  - name: $1
	    route: $2
	    deadline_ms: ${DEADLINE_MS:-1000}
	    longest_deadline_ms: ${LONGEST_MS:-5000}
	    policy: $8
	    measuring: {requests_per_s: 200, bytes_per_s: 400000, cross_zone_bytes_per_s: 100000}
	    rules:
	$9
	    servers:
	END
	zone_count=$(say "$7" | tr , '\n' | wc -l)
	for i in $(seq 0 $(($4 - 1))); do
		zone=$(say "$7" | cut -d, -f$((i % zone_count + 1)))
		say "      - {name: $1-$i, address: \"127.0.0.1:$((servers_port + $3 + i))\", zone: $zone, slots: $5, connections: $6}"
	done
}

# caller_addresses COUNT: prints the addresses of the callers' listeners of the
# first COUNT hosts, comma-separated.
caller_addresses() {
	for i in $(seq 0 $(($1 - 1))); do
		printf '127.0.0.1:%d,' $((callers_port + i))
	done | sed 's/,$//'
}

# wait_document HOST-COUNT: waits until each of the first HOST-COUNT hosts has a
# document in force; /health is answered with 200 from then on.
wait_document() {
	for i in $(seq 0 $(($1 - 1))); do
		wait_http "127.0.0.1:$((callers_port + i))" /health || return 1
	done
}

# counter HOST NAME: prints a counter from the metrics of the host.
counter() {
	curl -s -H "authorization: Bearer $TOKEN" \
		"127.0.0.1:$((operators_port + $1))/metrics" |
		sed -n "s/^jackdawworks_$2 //p"
}

# apply_document HOST FILE BASE: submits FILE at host HOST as the successor of
# generation BASE.
apply_document() {
	curl -s -f -o /dev/null -H "authorization: Bearer $TOKEN" \
		--data-binary "@$2" \
		"127.0.0.1:$((operators_port + $1))/v1/document?base=$3&author=test"
}

# stop_host I: stops host I gracefully. Sets STATUS to its exit status.
stop_host() {
	eval "pid=\$pid_entry$1"
	kill -TERM "$pid"
	wait "$pid"
	STATUS=$?
}

# write_document SERVICES: writes a document with the zones in ZONES and with
# the text SERVICES as its services.
write_document() {
	{
		say "deployment: test"
		say "latency_weight_percent: 50"
		say "zones: [$(say "$ZONES" | sed 's/,/, /g')]"
		say "services:"
		say "$1"
	} >"$WORK/document.yaml"
}

SMALL_SERVERS=6
SMALL_SLOTS=6

# start_small_deployment HOSTS MEAN_US: starts SMALL_SERVERS servers of one
# service and HOSTS entry hosts, all in one zone, and applies their document.
start_small_deployment() {
	ZONES=z
	start_platform || return 1
	start_servers ordering 0 $SMALL_SERVERS $SMALL_SLOTS z "$2" || return 1
	for i in $(seq 0 $(($1 - 1))); do start_host "$i" z "$1"; done
	write_document "$(print_service ordering / 0 $SMALL_SERVERS \
		$SMALL_SLOTS 240 z "${POLICY:-shares}" "      - {method: GET, path: /, idempotent: true}
      - {method: POST, path: /, idempotent: false}")"
	wait_http "127.0.0.1:$operators_port" /health || return 1
	apply_document 0 "$WORK/document.yaml" 0 || return 1
	wait_document "$1"
}

# start_load NAME HOSTS RATE SECONDS [ARGUMENTS...]: starts a load of RATE
# calls/s on the first HOSTS hosts. Its result is in NAME.out when it ends.
start_load() {
	start_process "$1" "$BIN/tool_load" -t "$(caller_addresses "$2")" \
		-r "$3" -s "$4" --health --orders 20 --timeout-ms 5000 "${@:5}"
}

# load_result NAME KEY: prints one figure from the result of a finished load.
load_result() {
	grep -oE "\"$2\": *[0-9.]+" "$WORK/$1.out" | head -1 |
		grep -oE '[0-9.]+$'
}

# lost_calls NAME: prints how many calls of a finished load did not complete.
lost_calls() {
	say $(($(load_result "$1" sent) - $(load_result "$1" completed)))
}

# kill_process NAME: kills the process with SIGKILL and removes it from PIDS, so
# that a run can start a new one under the same name.
kill_process() {
	eval "pid=\$pid_$1"
	kill -9 "$pid" 2>/dev/null
	wait "$pid" 2>/dev/null
	PIDS=" $PIDS "
	PIDS=${PIDS/ $pid / }
}

# processor_ticks PID...: prints the sum of the user and system time of the
# processes in clock ticks of 10 ms.
processor_ticks() {
	for pid in "$@"; do
		cat "/proc/$pid/stat"
	done | awk '{ n += $14 + $15 } END { print n }'
}
