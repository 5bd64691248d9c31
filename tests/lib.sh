# Functions that start the processes of a run on loopback. Sourced by the demo,
# the bench and the failure runs. Every process started here is ended by
# stop_all, by its own id.

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
	for pid in $PIDS; do kill -9 "$pid" 2>/dev/null; done
	for pid in $PIDS; do wait "$pid" 2>/dev/null; done
	rm -rf "$WORK"
}
trap stop_all EXIT

# check WHAT COMMAND...: counts a command that fails in "failures".
failures=0
check() {
	what=$1
	shift
	"$@" && return
	say "FAILED: $what"
	failures=$((failures + 1))
}

# start_process NAME COMMAND...: runs in the background, sets PID and pid_NAME.
start_process() {
	name=$1
	shift
	# Hosts log to standard output, errors of their start go elsewhere.
	case $name in
	entry*) "$@" >"$WORK/$name.log" 2>&1 & ;;
	*) "$@" >"$WORK/$name.out" 2>"$WORK/$name.log" & ;;
	esac
	PID=$!
	PIDS="$PIDS $PID"
	eval "pid_$name=$PID"
}

# wait_http ADDRESS PATH: until it answers with status 200, 10 s at most.
wait_http() {
	for _ in $(seq 200); do
		test "$(curl -s -o /dev/null -w '%{http_code}' "$1$2")" = 200 &&
			return 0
		sleep 0.05
	done
	say "no answer from $1$2" >&2
	return 1
}

start_platform() {
	start_process platform "$BIN/tool_platform" "$platform_address"
	wait_http "$platform_address" /stats || return 1
	# Another run on the same ports would answer in its place.
	kill -0 "$pid_platform" 2>/dev/null && return
	say "$platform_address is in use; set PORT_BASE" >&2
	return 1
}

platform_fault() { curl -s -o /dev/null -d "$1" "$platform_address/fault"; }

# start_servers NAME FIRST COUNT SLOTS ZONES MEAN_US: FIRST is an offset.
start_servers() {
	start_process "$1" "$BIN/tool_server" \
		"127.0.0.1:$((servers_port + $2))" "$3" "$4" "$5" "$6" \
		"$WORK/$1.runs"
	wait_http "127.0.0.1:$((servers_port + $2))" /stats
}

# server_control OFFSET JSON
server_control() {
	curl -s -o /dev/null -d "$2" "127.0.0.1:$((servers_port + $1))/control"
}

# write_settings I ZONE SEED-COUNT [EXTRA-LINES]
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

# start_host I ZONE HOST-COUNT [EXTRA-SETTINGS]
start_host() {
	write_settings "$@"
	start_process "entry$1" "$BIN/jackdawworks" serve "$WORK/entry$1.yaml"
}

# operator_cli I COMMAND...: a command against the operators' listener of host I.
operator_cli() {
	host=$1
	command=$2
	shift 2
	JACKDAWWORKS_TOKEN=$TOKEN "$BIN/jackdawworks" "$command" \
		--host "127.0.0.1:$((operators_port + host))" "$@"
}

# print_service NAME ROUTE FIRST COUNT SLOTS CONNECTIONS ZONES POLICY RULES
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

# caller_addresses COUNT: the callers' addresses of the first COUNT hosts.
caller_addresses() {
	for i in $(seq 0 $(($1 - 1))); do
		printf '127.0.0.1:%d,' $((callers_port + i))
	done | sed 's/,$//'
}

# wait_document HOST-COUNT: until every host has a document in force.
wait_document() {
	for i in $(seq 0 $(($1 - 1))); do
		wait_http "127.0.0.1:$((callers_port + i))" /health || return 1
	done
}

# apply_document HOST FILE BASE
apply_document() {
	curl -s -f -o /dev/null -H "authorization: Bearer $TOKEN" \
		--data-binary "@$2" \
		"127.0.0.1:$((operators_port + $1))/v1/document?base=$3&author=test"
}

# stop_host I: graceful stop; its exit status is in STATUS.
stop_host() {
	eval "pid=\$pid_entry$1"
	kill -TERM "$pid"
	wait "$pid"
	STATUS=$?
}

# write_document SERVICES: a document of the zones z with that text.
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

# start_small_deployment HOSTS MEAN_US: servers of one service and hosts in one zone.
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

# start_load NAME HOSTS RATE SECONDS [ARGUMENTS...]: the result is in NAME.out.
start_load() {
	start_process "$1" "$BIN/tool_load" -t "$(caller_addresses "$2")" \
		-r "$3" -s "$4" --health --orders 20 --timeout-ms 5000 "${@:5}"
}

# load_result NAME KEY: a figure of a finished load.
load_result() {
	grep -oE "\"$2\": *[0-9.]+" "$WORK/$1.out" | head -1 |
		grep -oE '[0-9.]+$'
}

# lost_calls NAME: calls of a finished load that were not answered.
lost_calls() {
	say $(($(load_result "$1" sent) - $(load_result "$1" completed)))
}

# kill_process NAME: at once; used where a run needs fresh processes.
kill_process() {
	eval "pid=\$pid_$1"
	kill -9 "$pid" 2>/dev/null
	wait "$pid" 2>/dev/null
	PIDS=" $PIDS "
	PIDS=${PIDS/ $pid / }
}

# processor_ticks PID...: user and system time in ticks of 10 ms.
processor_ticks() {
	for pid in "$@"; do
		cat "/proc/$pid/stat"
	done | awk '{ n += $14 + $15 } END { print n }'
}
