#!/bin/sh
# Case 2: a part of prompts that crashes engines stands behind sixteen others.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run-case.sh" parts "$here"
