#!/bin/sh
# Checks that the stand-ins of the scripts can be compiled; they need the standard library alone.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c 'compile(open("standins_3.py").read(), "standins_3.py", "exec")'
