#!/usr/bin/env bash
# Plays the case with the built programs; TROUBLE=0 plays it without the disruption. Exits with 1 if the
# rule was broken, 0 if it held, and 2 if the case couldn't run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -x target/review-2 ] || [ ! -x target/bergamotrudder ]; then
	echo "build the deploy file's program and run review/build-2.sh first" >&2
	exit 2
fi
exec target/review-2 leaving "$folder/record.txt"
