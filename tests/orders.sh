# Functions shared by the tests, proofs and benchmarks of orders: three entry
# hosts in three zones and six servers. An order is a POST, a call that must not
# run twice. Sourced with the directory of the built programs as $1.
. "$(dirname "$0")/lib.sh"

HOSTS=3
SERVERS=6
ZONES=gs-a,gs-b,gs-c
ORDERS_HOST_SETTINGS="lease_ms: 1000"

start_order_host() {
	start_host "$1" "$(say $ZONES | cut -d, -f$(($1 + 1)))" $HOSTS \
		"$ORDERS_HOST_SETTINGS"
}

# start_orders [MEAN_US]: starts the platform, the servers and the hosts, and
# applies the document. MEAN_US is the mean service time.
start_orders() {
	start_platform || exit 1
	start_servers ordering 0 $SERVERS 6 $ZONES "${1:-3000}" || exit 1
	for i in $(seq 0 $((HOSTS - 1))); do start_order_host "$i"; done
	{
		say "deployment: tri-parish"
		say "latency_weight_percent: 80"
		say "zones: [$(say $ZONES | sed 's/,/, /g')]"
		say "callers: [{name: lamp-district-3, weight: 2}]"
		say "services:"
		print_service ordering / 0 $SERVERS 6 260 $ZONES least-of-two \
			"      - {method: GET, path: /, idempotent: true}
      - {method: POST, path: /, idempotent: false}"
	} >"$WORK/document.yaml"
	wait_http "127.0.0.1:$operators_port" /health || exit 1
	operator_cli 0 apply --author run "$WORK/document.yaml" || exit 1
	wait_document $HOSTS || exit 1
}

# all_servers JSON: sets the same behaviour at every server; see server_control.
all_servers() {
	for s in $(seq 0 $((SERVERS - 1))); do server_control "$s" "$1"; done
}

# caller_targets HOST...: prints the addresses of the callers' listeners of the
# hosts, comma-separated.
caller_targets() {
	for i in "$@"; do printf '127.0.0.1:%d,' $((callers_port + i)); done |
		sed 's/,$//'
}

# run_load NAME SEED TARGETS [ARGUMENT...]: sends 3 s of load. Writes the
# outcome that callers received for each order to NAME.outcomes. Fails when a
# caller got another caller's answer.
run_load() {
	name=$1
	seed=$2
	to=$3
	shift 3
	"$BIN/tool_load" --targets "$to" --rate 100 --seconds 3 --orders 70 \
		--timeout-ms 1000 --seed "$seed" --log "$WORK/$name.outcomes" \
		"$@" >"$WORK/$name.result"
}

# post_order HOST KEY BODY [CURL-ARGUMENT...]: sends an order. Prints "STATUS
# OUTCOME BODY-BYTES".
post_order() {
	host=$1
	key=$2
	body=$3
	shift 3
	curl -s -o /dev/null -d "$body" -H "idempotency-key: $key" \
		-H "x-caller: lamp-district-3" -H "x-echo: $key" \
		-H "x-timeout-ms: 5000" \
		-w '%{http_code} %header{x-request-outcome} %{size_download}' \
		"$@" "127.0.0.1:$((callers_port + host))/orders${query:-}"
}

# accepts_orders HOST: whether the host takes an order with a key. After an outage
# or a restore of the platform it refuses them for some time.
accepts_orders() { post_order "$1" "back$1" x | grep -q ^200; }

# snapshot_run_log NAME: copies the servers' run log at the end of a round.
# Servers write a line when they begin to run an order.
snapshot_run_log() { cp "$WORK/ordering.runs" "$WORK/$1.runs"; }

# compare_orders NAME: compares the outcomes that the callers of a round
# received with the orders that had run at its end. Sets SUMMARY to the counts.
# Fails when an order ran twice ("doubled"), ran although its caller received
# "not-run" ("wrong"), or did not run although its caller received "completed"
# with status 200 ("lost"), and when no order ran.
compare_orders() {
	SUMMARY=$(awk '
		FILENAME ~ /[.]runs$/ { run[$2]++; next }
		$1 == "order" {
			sent++
			received[$3]++
			if (run[$2]) ran++
			if (run[$2] > 1) doubled++
			if ($3 == "not-run" && run[$2]) wrong++
			if ($3 == "completed" && $4 == 200 && !run[$2]) lost++
		}
		END {
			printf "sent=%d run=%d doubled=%d lost=%d wrong=%d", \
				sent, ran, doubled, lost, wrong
			printf " received: completed=%d not-run=%d" \
				" unknown=%d broken=%d\n", \
				received["completed"], received["not-run"], \
				received["unknown"], received["broken"]
			exit doubled + lost + wrong > 0 || !ran
		}' "$WORK/$1.runs" "$WORK/$1.outcomes")
}
