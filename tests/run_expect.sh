#!/bin/bash
# Guards against a caller over HTTP/1.1 that sends "expect: 100-continue", waits for the
# interim answer and gets none, or gets one in place of its answer.
set -u
PORT_BASE=${PORT_BASE:-31100}
. "$(dirname "$0")/lib_wire.sh"

start_answers "$(print_route order /order/ unsafe desk)"
check_expecting 1.1 "100 200 body end=timeout "
report_failures
