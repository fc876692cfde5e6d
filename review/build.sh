#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They need nothing but the standard library.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review-standin .
