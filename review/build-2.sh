#!/bin/sh
# Builds the stand-ins of the cases 4 to 7 into target/. It needs no network: they use the standard library alone.
# scenarios-2 is for 4, standins-2 for the others.
set -eu
cd "$(dirname "$0")/standins-2"
go build -o ../../target/review-2-standins .
cd ../scenarios-2
go build -o ../../target/review-2-scenarios .
