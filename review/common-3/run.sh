# Sourced by the run.sh of a case: plays its case.py with the shared stand-ins.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../common-3 exec python3 case.py
