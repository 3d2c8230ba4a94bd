#!/usr/bin/env bash
# Builds the stand-ins of the review's cases.
set -eu
cd "$(dirname "$0")/stand"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-stand .
