#!/usr/bin/env bash
# Builds the stand-ins of the cases; the product itself is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target/classes
javac -d target/classes standins/*.java
