#!/bin/bash
# Runs every unit test program (test_*) and every test script (run_*.sh). A
# failure that KNOWN-RED.txt lists by name is printed and does not fail the run;
# every other failure does. The scripts run in LANES lanes side by side, each with ports
# of its own.
# usage: check.sh DIRECTORY
set -u
BIN=${1:?directory of the built programs}
cd "$(dirname "$0")/.." || exit 1
export CK_FORK=${CK_FORK:-yes} CK_DEFAULT_TIMEOUT=${CK_DEFAULT_TIMEOUT:-60}
export G_SLICE=always-malloc
OUT=$(mktemp -d)
trap 'rm -rf "$OUT"' EXIT
passed=0
failed=0
known=0

# Whether KNOWN-RED.txt has the line "test: NAME".
is_known() {
	test -f KNOWN-RED.txt && grep -qxF "test: $1" KNOWN-RED.txt
}

report() { # NAME STATUS FILE
	if test "$2" = 0; then
		passed=$((passed + 1))
	elif is_known "$1"; then
		known=$((known + 1))
		printf 'KNOWN RED %s\n' "$1"
	else
		failed=$((failed + 1))
		printf 'FAILED %s\n' "$1"
		tail -40 "$3"
	fi
}

# Programs built with the library Check print one line per test:
# file:line:RESULT:case:test:iteration:
check_program() {
	name=$(basename "$1")
	CK_VERBOSITY=verbose "$1" >"$OUT/$name" 2>&1
	status=$?
	count=0
	while IFS=: read -r _ _ result case test _; do
		count=$((count + 1))
		report "$name:$case:$test" "$(test "$result" = P; echo $?)" \
			"$OUT/$name"
	done < <(grep -E '^[^:]+:[0-9]+:[PFE]:' "$OUT/$name")
	# A crash outside a test prints no line with a result; the program is
	# reported as failed instead.
	if test $count = 0 || { test $status != 0 &&
		! grep -qE ':[0-9]+:[FE]:' "$OUT/$name"; }; then
		report "$name" 1 "$OUT/$name"
	fi
}

for program in "$BIN"/test_*; do
	case $program in *.*) continue ;; esac
	test -x "$program" && check_program "$program"
done
LANES=2 FIRST_PORT=${FIRST_PORT:-10000} LANE_PORTS=2000
# run_lane LANE SCRIPT...: runs each LANESth script. Writes the output of each, and its
# status, into $OUT.
run_lane() {
	local lane=$1 turn=0 run name
	export PORT_BASE=$((FIRST_PORT + lane * LANE_PORTS))
	for run in "${@:2}"; do
		turn=$((turn + 1))
		test $((turn % LANES)) = "$lane" || continue
		name=$(basename "$run" .sh)
		timeout 120 "$run" "$BIN" >"$OUT/$name" 2>&1
		echo $? >"$OUT/$name.status"
	done
}
scripts=(tests/run_*.sh)
for lane in $(seq 0 $((LANES - 1))); do run_lane "$lane" "${scripts[@]}" & done
wait
for run in "${scripts[@]}"; do
	name=$(basename "$run" .sh)
	report "$name" "$(cat "$OUT/$name.status")" "$OUT/$name"
done
printf '%d passed, %d failed\n' $passed $failed
test $known = 0 || printf 'known red: %d, see KNOWN-RED.txt\n' $known
test $failed = 0
