#!/usr/bin/env bash
# Plays the standard days of the deployments in force on the users' bench, one site after the
# other on half of the cores, and compares the worth of each day with the site's last entry in
# the journal.
#
# usage: tools/regression/run.sh KIT WHY [SITE...]
#   KIT   folder of the users' pages (BENCH.md)
#   WHY   a line for the journal
#   SITE  path below KIT without .toml; without any, the deployments in force
#
# The exit code is 1 if a gate failed or a day fell by more than 0.03, 2 for a usage error.
set -euo pipefail

# sites are the deployments in force: the newest ones, once their gates are passed.
sites=(
	large/okafor-desk-large
	further/kiri-tallinn
	further-grown/kiri-tallinn-grown
	grown/okafor-desk-grown
	grown/lpm-wipe-grown
)
# noise is the difference of one day's worth below which nothing is reported.
noise=0.03

if [ $# -lt 2 ]; then
	sed -n '6,9s/^# \{0,1\}//p' "$0" >&2
	exit 2
fi
kit=$1
why=$2
shift 2
[ $# -gt 0 ] && sites=("$@")
bench=$(ls "$kit"/more/bench-*/bin/fleetbench 2>/dev/null | tail -n 1)
if [ -z "$bench" ]; then
	echo "no bench below $kit/more" >&2
	exit 2
fi
cd "$(dirname "$0")/../.."

# days prints the day and the worth of each line of a bench's table.
days() { awk '$2 ~ /^[0-9]+\/[0-9]+$/ && $1 !~ /^fresh/ { print $1, $4 }'; }

# last prints the days of the site's last score in the journal.
last() {
	local entry
	entry=$(grep -lF "\"site\":\"$1\"" journal/*.json | xargs -r grep -lF '"cmd":"score"' | tail -n 1)
	[ -n "$entry" ] || return 0
	grep -o '{"G":[-0-9.]*,"name":"[a-z0-9-]*"' "$entry" | sed 's/{"G":\([-0-9.]*\),"name":"\([^"]*\)"/\2 \1/'
}

failed=0
for site in "${sites[@]}"; do
	name=$(basename "$site")
	before=$(last "$name" || true)
	out=$("$bench" score "$kit/$site.toml" --jobs $((($(nproc) + 1) / 2)) --why "$why" 2>&1) || failed=1
	echo "$out" | grep -E '^(score on|GATE)' || failed=1
	echo "$out" | grep -q '^GATE passed' || failed=1
	printf '%-12s %8s %8s\n' day before now
	while read -r day worth; do
		old=$(echo "$before" | awk -v d="$day" '$1 == d { print $2 }' | tail -n 1)
		mark=""
		if [ -n "$old" ] && awk -v a="$old" -v b="$worth" -v n="$noise" 'BEGIN { exit !(b < a - n) }'; then
			mark="fell"
			failed=1
		fi
		printf '%-12s %8s %8s %s\n' "$day" "${old:--}" "$worth" "$mark"
	done < <(echo "$out" | days)
done
exit $failed
