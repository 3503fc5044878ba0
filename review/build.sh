#!/bin/sh
# Builds the stand-ins of the cases. It needs no network once the deploy file's build has run.
set -e
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline
