#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
if [ ! -x target/bergamotrudder ] || [ ! -x target/review/standin ]; then
	echo "run the build of deploy/system.toml and review/build.sh first" >&2
	exit 2
fi
exec target/review/standin silent "$here" "${TROUBLE:-1}"
