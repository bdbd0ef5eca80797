#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -d review/standins-2/target ] && [ -f platform/target/rhubarbknot-platform.jar ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec java -Xmx256m -cp review/standins-2/target PendingAfterLeaderLoss review/10
