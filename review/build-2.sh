#!/bin/sh
# Builds the stand-ins that the scripts of review/4 and after start. They are Python and
# use what the deploy file's build has put into target/deps; nothing is fetched.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build of deploy/system.toml first"; exit 1; }
export PYTHONPATH=target/deps
python3 -S -m compileall -q review/common-2 standins/platformstore.py standins/server.py
python3 -S -c "import standins.platformstore"
echo "the stand-ins of review/4 and after are ready"
