#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/11 to review/15 start. It uses the standard
# library only.
set -eu
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS= GOTOOLCHAIN=local go build -o ../bin/standin-3 .
