#!/bin/sh
# Compiles the stand-ins and the scripts of the cases; they need Python 3.11 alone.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins [0-9]*/
