#!/usr/bin/env bash
# Plays the case with real processes; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. Needs the build of deploy/system.toml and review/build.sh.
set -euo pipefail
cd "$(dirname "$0")/../.."
[ -f platform/target/rhubarbknot-platform.jar ] && [ -d review/target/classes ] || { echo "not built" >&2; exit 2; }
TROUBLE="${TROUBLE:-1}" exec java -Xmx128m -XX:+UseSerialGC -cp review/target/classes LateLeave review/5
