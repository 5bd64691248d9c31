#!/bin/bash
# Guards against an interim answer to a caller over HTTP/1.0 that sends "expect:
# 100-continue". HTTP/1.0 has none: such a caller may take it for its answer, and the answer
# for a body. RFC 9110, 10.1.1: a server must ignore the header there.
set -u
PORT_BASE=${PORT_BASE:-31300}
. "$(dirname "$0")/lib_wire.sh"

start_answers "$(print_route order /order/ unsafe desk)"
for pause_s in 0 0.3; do
	came=$(send_expecting 1.0 $pause_s)
	check "body after $pause_s s: $came" test "$came" = "200 body end=eof "
done
report_failures
