#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on. They need Python 3.11 and its standard library only,
# so this compiles them. The instances themselves are built by the command of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m py_compile stage-2/stage.py [6-9]/scene.py
if [ -f 10/scene.py ]; then python3 -m py_compile 10/scene.py; fi
