#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build line of the deploy file. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/standins-2 ./review/second/platform
