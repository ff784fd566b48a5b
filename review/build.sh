#!/bin/sh
# Builds the stand-ins that the cases start, from the standard library alone; needs no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
