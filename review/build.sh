#!/bin/bash
# Builds the stand-in that all scripts of the review start. It needs no network: the module
# has no dependency.
set -e
cd "$(dirname "$0")/stand"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-stand .
