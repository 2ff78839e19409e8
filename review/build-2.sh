#!/bin/sh
# Builds the programs that the scripts of the second review start, besides those of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/ ./review/harness2
