#!/usr/bin/env bash
# Checks the stand-ins of the scripts, which are Python and need no further build.
cd "$(dirname "$0")" && python3 -c 'import ast; ast.parse(open("platform_standins.py").read())'
