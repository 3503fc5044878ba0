#!/usr/bin/env bash
# Builds the stand-ins of this review's scripts, without a network.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
exec cargo build --release --offline --locked
