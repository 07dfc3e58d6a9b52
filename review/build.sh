#!/bin/sh
# Builds the stand-in that the scripts start. It uses the standard library only.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/standin review/standin/*.go
