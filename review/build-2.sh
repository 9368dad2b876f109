#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand-2 ./review/stand-2
