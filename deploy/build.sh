#!/bin/sh
# Puts the pinned libraries and the package into target/deps, compiled: the
# VMs can't write there, and one that compiles at each start is up 0.4 s later.
set -eu
if [ ! -f target/deps/.ready ] || [ deploy/requirements.txt -nt target/deps/.ready ]; then
  rm -rf target/deps
  python3 -m pip install --quiet --no-deps --target target/deps -r deploy/requirements.txt
  touch target/deps/.ready
fi
rm -rf target/deps/bramleybend
cp -r bramleybend target/deps/bramleybend
find target/deps/bramleybend -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q --invalidation-mode unchecked-hash target/deps
