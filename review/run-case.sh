# Sourced by each case's run.sh: runs review/target/case-N from the root, with a temporary folder of its own.
# Exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)"
number="$(basename "$here")"
cd "$here/../.."
PLANNER_RUN="$(sed -n 's/^run *= *"\(.*\)".*$/\1/p' deploy/balancer.toml)"
TMPDIR="$(mktemp -d)"
RECORD="$here/record.txt"
export PLANNER_RUN TMPDIR RECORD
trap 'rm -rf "$TMPDIR"' EXIT
if [ ! -x "review/target/case-$number" ] || [ ! -x target/release/burlhook ]; then
    echo "COULD NOT RUN: build the planner and review/build.sh first"
    exit 2
fi
code=0
timeout -k 2 118 "review/target/case-$number" || code=$?
# Where the case could not run, the planners' last log lines say why.
if [ "$code" != 0 ] && [ "$code" != 1 ]; then
    tail -n 12 "$TMPDIR"/*.log | sed "s|$PWD|.|g; s|$TMPDIR|TMPDIR|g" >> "$RECORD"
fi
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
