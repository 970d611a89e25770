#!/usr/bin/env bash
# Builds the stand-ins of the scripts: Python files that need the standard library only.
cd "$(dirname "$0")" && python3 -m compileall -q standins
