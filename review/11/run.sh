#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -x target/trefoil-platform ] || [ ! -x target/review/standins-2 ]; then
  echo "run the build line of deploy/system.toml and review/build-2.sh first"
  exit 2
fi
ROOT=$PWD exec target/review/standins-2 repointed "$folder"
