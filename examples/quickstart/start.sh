#!/usr/bin/env bash
# Starts the processes of the quick start on loopback and stops them on exit: the stand-in
# of the platform, five stand-in upstreams with their sidecars, and one entry.
set -euo pipefail
cd "$(dirname "$0")/../.."

export QUICKSTART_SECRET="shared secret of the quick start"
export QUICKSTART_OPERATOR_KEY="operator key of the quick start"
bin=$(mktemp -d)
logs=${LOGS:-$bin}
pids=()
stop() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	wait || true
	rm -rf "$bin"
}
trap stop EXIT
trap 'exit 0' INT TERM

go build -o "$bin/" . ./internal/standin/cmd/...

run() {
	local name=$1
	shift
	"$bin/$1" "${@:2}" >"$logs/$name.log" 2>&1 &
	pids+=($!)
}

# list NAME ROLE ADDRESS [STAGE] adds an instance to the platform's list. In production the
# platform does this itself.
list() {
	local stage=""
	if [ $# -gt 3 ]; then stage=", \"stage\": \"$4\", \"upstream\": \"$4-1\""; fi
	curl -sSf -o /dev/null -X POST http://127.0.0.1:7000/apis/bergamotrudder.example/v1/namespaces/quickstart/instances -d "{
		\"apiVersion\": \"bergamotrudder.example/v1\", \"kind\": \"Instance\", \"metadata\": {\"name\": \"$1\"},
		\"spec\": {\"name\": \"$1\", \"role\": \"$2\", \"failureDomain\": \"north\", \"address\": \"$3\", \"phase\": \"live\"$stage}}"
}

run store store -listen 127.0.0.1:7000
until curl -sf -o /dev/null http://127.0.0.1:7000/admin/counters; do sleep 0.1; done

n=0
for stage in encode retrieve rerank generate dispatch; do
	n=$((n + 1))
	case $stage in
	encode | generate) run "$stage" engine --listen 127.0.0.1:910$n --name "$stage-1" --warm-up 5s ;;
	*) run "$stage" service --listen 127.0.0.1:910$n --name "$stage-1" --kind "$stage" --warm-up 5s ;;
	esac
	run "sidecar-$stage" bergamotrudder sidecar --settings examples/quickstart/sidecar.json \
		--set name="sidecar-$stage" --set peerListen=127.0.0.1:720$n \
		--set upstream.name="$stage-1" --set upstream.stage="$stage" --set upstream.address=127.0.0.1:910$n
	list "sidecar-$stage" sidecar 127.0.0.1:720$n "$stage"
done

run entry-1 bergamotrudder entry --settings examples/quickstart/entry.json
list entry-1 entry 127.0.0.1:7100
until curl -sf -o /dev/null http://127.0.0.1:8080/healthz; do sleep 0.1; done
curl -sSf -o /dev/null -X PUT http://127.0.0.1:8081/v1/configuration -H "Authorization: Bearer $QUICKSTART_OPERATOR_KEY" \
	-H 'If-Match: "0"' --data-binary @examples/quickstart/configuration.json
until curl -sf -o /dev/null http://127.0.0.1:8080/readyz; do sleep 0.1; done
echo "Ready: callers at 127.0.0.1:8080, operators at 127.0.0.1:8081, logs in $logs. Press Ctrl-C to stop."
wait
