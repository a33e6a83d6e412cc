#!/bin/sh
# Builds the stand-ins of the cases: Python files of this folder, which need
# the standard library alone.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile standins/standins.py */case.py
