#!/bin/sh
# Builds the stand-ins of the third review: Python of the standard library alone.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
for file in stand_ins_3.py server_3.py crash_3.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$here/$file"
done
