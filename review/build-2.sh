#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. Needs the JDK only, no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/standins-2/target
mkdir -p review/standins-2/target
javac --release 17 -d review/standins-2/target review/standins-2/*.java
