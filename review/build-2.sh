#!/bin/sh
# Builds the stand-ins of the second review, without a network and without Cargo, after the build of the deploy
# file: they need nothing but the standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc --edition 2021 -O -o target/review-2/standin review/standin-2/src/main.rs
