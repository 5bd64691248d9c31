#!/bin/bash
# Runs the cases of tests/document_cases.sh and prints those that fail. Guards
# against documents that are lost, reverted, altered or accepted twice, through
# races of two operators, outages of the platform or malformed input. The
# comment at each case describes its failure.
set -u
BIN=${1:?directory of the built programs}
failed=0
for case in document_in_force conditional_accept read_back generation_order \
	digest_check platform_down down_after_accept slow_platform refused_rows \
	repeated_submission show_and_apply fresh_host \
	customer_documents bad_input; do
	"$(dirname "$0")/document_cases.sh" "$BIN" $case || {
		printf 'FAILED %s\n' $case
		failed=1
	}
done
exit $failed
