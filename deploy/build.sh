#!/bin/sh
# Installs the libraries and the two packages that an entry host loads to target/deps,
# with their byte code, since the checkout is read-only at run time.
set -eu
deps=target/deps
stamp=target/deps.stamp
if ! cmp -s deploy/requirements.txt "$stamp"; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check --no-deps \
        --target "$deps" -r deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
rm -rf "$deps/persimmonyoke" "$deps/persimmonyoke_platform"
cp -r packages/persimmonyoke/src/persimmonyoke "$deps/"
cp -r platform/src/persimmonyoke_platform "$deps/"
python3 -m compileall -q "$deps"
