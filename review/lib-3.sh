# Functions of review/10. Sourced by its run.sh.
#
# Starts hosts with target/jackdawworks, as deploy/system.toml names it, and with settings
# that are rendered from deploy/settings.yaml. The store and the servers are the stand-ins
# of tests/, as review/build-2.sh builds them, and requesters are curl. All on loopback.
set -u
CASE=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$CASE/../.." || exit 2
TROUBLE=${TROUBLE:-1}
RECORD=$CASE/record.txt
for program in target/jackdawworks build/release/tool_platform \
	build/release/tool_upstream; do
	test -x $program || { echo "not built, see review/build-2.sh: $program" >&2; exit 2; }
done
# A base whose ports nobody listens on.
pick_ports() {
	local n p used
	for n in $(seq 20); do
		PORT_BASE=$((20000 + (RANDOM % 12) * 1000))
		used=0
		for p in 0 100 101 300 301 400 401 450 500 501; do
			(: <"/dev/tcp/127.0.0.1/$((PORT_BASE + p))") 2>/dev/null && used=1
		done
		test $used = 0 && return
	done
	exit 2
}
test -n "${PORT_BASE:-}" || pick_ports
set -- build/release
. tests/lib_platform.sh
fail() { say "cannot run: $*"; exit 2; }
: >"$RECORD"
note() { say "$*" | tee -a "$RECORD"; }

# Bounds of a deployment, as its page has them; a case may set others.
grace_s=6 retry_slack=60 cpu_share=0.2 memory_mb_limit=260 apply_s=2 drain_s=2
quota_window_s= quota_over= quota_slack=
# settings_of I BOOTSTRAP: renders the template; BOOTSTRAP: empty but for the first start.
settings_of() { # I BOOTSTRAP
	local section keep text
	text=$(cat deploy/settings.yaml)
	for section in bounds.strict-revoke bounds.quota-window-s bounds.quota-over \
		bounds.quota-slack bootstrap; do
		keep=
		case $section in
		bounds.quota-window-s) keep=$quota_window_s ;;
		bounds.quota-over) keep=$quota_over ;;
		bounds.quota-slack) keep=$quota_slack ;;
		bootstrap) keep=$2 ;;
		esac
		if test -n "$keep"; then
			text=$(say "$text" | grep -vF -e "{{#$section}}" -e "{{/$section}}")
		else
			text=$(say "$text" | sed "\\|{{#$section}}|,\\|{{/$section}}|d")
		fi
	done
	say "$text" | sed \
		-e "s|{{node-name}}|front-$1|" -e "s|{{zone}}|${host_zone:-gs-a}|" \
		-e "s|{{bounds.grace-s}}|$grace_s|" \
		-e "s|{{listen.front}}|127.0.0.1:$((callers_port + $1))|" \
		-e "s|{{listen.readiness}}|127.0.0.1:$((operators_port + $1))|" \
		-e "s|{{ip}}:{{internal-ports.0}}|127.0.0.1:$((metrics_port + $1))|" \
		-e "s|{{ip}}:{{internal-ports.1}}|127.0.0.1:$((peers_port + $1))|" \
		-e "s|{{platform.address}}|$platform_address|" \
		-e "s|{{bounds.retry-budget-slack}}|$retry_slack|" \
		-e "s|{{limits.cpu-share}}|$cpu_share|" \
		-e "s|{{limits.memory-mb}}|$memory_mb_limit|" \
		-e "s|{{bounds.config-apply-s}}|$apply_s|" \
		-e "s|{{bounds.drain-s}}|$drain_s|" \
		-e "s|{{bounds.quota-window-s}}|$quota_window_s|" \
		-e "s|{{bounds.quota-over}}|$quota_over|" \
		-e "s|{{bounds.quota-slack}}|$quota_slack|"
}
start_front() { # I [BOOTSTRAP]
	settings_of "$1" "${2:-}" >"$WORK/front$1.yaml"
	grep -q '{{' "$WORK/front$1.yaml" && fail "settings of host $1"
	target/jackdawworks serve "$WORK/front$1.yaml" >>"$WORK/entry$1.log" 2>&1 &
	PID=$!
	PIDS="$PIDS $PID"
	eval "pid_entry$1=$PID"
}
# start_fronts COUNT: starts them for the first time, and waits until they are ready.
start_fronts() {
	local i
	for i in $(seq 0 $(($1 - 1))); do start_front "$i" true; done
	for i in $(seq 0 $(($1 - 1))); do wait_ready "$i" || fail "host $i is not ready"; done
}
# start_server I WORK-MS [SERVICE]: with its row in the store.
start_server() {
	start_upstream "$1" "$2" || fail "server $1"
	put_server "$1" ready "${3:-desk}" || fail "the row of server $1"
}
