#!/bin/bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. It needs no network.
set -e
cd "$(dirname "$0")/.."
target="$PWD/target"
mkdir -p "$target"
cd review/standin-2
GOWORK=off GOTOOLCHAIN=local GOPROXY=off go build -o "$target/review-2" .
