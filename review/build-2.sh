#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases 6 to 10 into target/.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/_standin-2
