#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/8 and later start. It needs Go and no network. The programs under test
# come from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target/review
GOWORK=off go build -o ../../target/review/standins-2 .
