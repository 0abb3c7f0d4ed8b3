#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/. They use the standard library only, and are a module of their own: the default build and
# test run leave them out.
set -euo pipefail
cd "$(dirname "$0")/second/platform"
GOWORK=off go build -o ../../../target/review-2/standins-2 .
