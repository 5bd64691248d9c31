# Steps shared by the runs about orders: three entry hosts in three zones and
# six servers. Sourced with the directory of the built programs as $1.
. "$(dirname "$0")/lib.sh"

HOSTS=3
SERVERS=6
ZONES=gs-a,gs-b,gs-c
ORDERS_HOST_SETTINGS="lease_ms: 1000"

start_order_host() {
	start_host "$1" "$(say $ZONES | cut -d, -f$(($1 + 1)))" $HOSTS \
		"$ORDERS_HOST_SETTINGS"
}

# start_orders [MEAN_US]
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

# all_servers JSON: sets the same behaviour at every server.
all_servers() {
	for s in $(seq 0 $((SERVERS - 1))); do server_control "$s" "$1"; done
}

caller_targets() { # HOST...
	for i in "$@"; do printf '127.0.0.1:%d,' $((callers_port + i)); done |
		sed 's/,$//'
}

# run_load NAME SEED TARGETS [ARGUMENT...]: what callers were told goes to
# NAME.outcomes. Fails when a caller got another caller's answer.
run_load() {
	name=$1
	seed=$2
	to=$3
	shift 3
	"$BIN/tool_load" --targets "$to" --rate 100 --seconds 3 --orders 70 \
		--timeout-ms 1000 --seed "$seed" --log "$WORK/$name.outcomes" \
		"$@" >"$WORK/$name.result"
}

# snapshot_run_log NAME: the run log as it is when a round is over. Servers write a
# line when they begin to run an order.
snapshot_run_log() { cp "$WORK/ordering.runs" "$WORK/$1.runs"; }

# compare_orders NAME: compares what the callers of a round were told with what had
# been run when it was over. Sets SUMMARY; fails when an order was run twice,
# told "not-run" but run, or told completed but not run.
compare_orders() {
	SUMMARY=$(awk '
		FILENAME ~ /[.]runs$/ { run[$2]++; next }
		$1 == "order" {
			sent++
			told[$3]++
			if (run[$2]) ran++
			if (run[$2] > 1) doubled++
			if ($3 == "not-run" && run[$2]) wrong++
			if ($3 == "completed" && $4 == 200 && !run[$2]) lost++
		}
		END {
			printf "sent=%d run=%d doubled=%d lost=%d wrong=%d", \
				sent, ran, doubled, lost, wrong
			printf " told: completed=%d not-run=%d unknown=%d" \
				" broken=%d\n", told["completed"], \
				told["not-run"], told["unknown"], told["broken"]
			exit doubled + lost + wrong > 0 || !ran
		}' "$WORK/$1.runs" "$WORK/$1.outcomes")
}
