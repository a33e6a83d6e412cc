#!/bin/sh
# Compiles the stand-ins that the scripts of this review start. They use the
# standard library alone, so nothing is installed.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins_2 review/6 review/7 review/8
