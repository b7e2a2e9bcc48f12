#!/bin/sh
# Builds the stand-ins of all scripts in this folder; they use the standard library alone.
set -e
cd "$(dirname "$0")/bed"
CARGO_TARGET_DIR="${REVIEW_TARGET:-../../target/review}" cargo build --release --offline --locked
