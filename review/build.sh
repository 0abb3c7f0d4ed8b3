#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases into target/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/platform"
GOWORK=off go build -o ../../target/review-standin .
