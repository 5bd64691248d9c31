#!/bin/bash
# Guards against log events that the operators' page does not explain, and
# against events on the page that no longer exist in the code. Both come about
# when an event is added, renamed or removed in the code only.
set -u
cd "$(dirname "$0")/.." || exit 1
page=docs/OPERATIONS.md
in_code=$({
	sed -n 's/^\tX([A-Z_]*, "\([a-z-]*\)", \(ORDINARY\|FAILURE\|STATE\).*/\1/p' base/log.h
	grep -hoE 'lg_(info|warn|error|debug)\(\s*"[a-z-]+"' \
		$(git ls-files '*.c' | grep -vE '^(tests|gen)/') |
		sed 's/.*"\(.*\)"/\1/'
} | sort -u)
on_page=$(sed -n '/^| event |/,/^$/p' $page | sed 1,2d | cut -d'|' -f2 |
	grep -oE '`[a-z-]+`' | tr -d '`' | sort -u)
test "$(printf '%s\n' "$in_code" | wc -l)" -gt 10 || {
	echo "FAILED: events not found in the code"
	exit 1
}
missing=$(comm -23 <(printf '%s\n' "$in_code") <(printf '%s\n' "$on_page"))
unknown=$(comm -13 <(printf '%s\n' "$in_code") <(printf '%s\n' "$on_page"))
test -z "$missing" || echo "FAILED: not in $page:" $missing
test -z "$unknown" || echo "FAILED: not in the code:" $unknown
test -z "$missing$unknown" && echo "every log event is explained"
