#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. It needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
root=$PWD
cd review/standins
GOWORK=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -buildvcs=false -o "$root/target/review/standins" .
