#!/bin/sh
# The stand-ins use the standard library only: this just compiles them.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q stand_ins.py
