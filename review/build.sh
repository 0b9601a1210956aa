#!/bin/bash
# The stand-ins are Python of the standard library; they need python3 (3.11 or later) and the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/stand_ins review/*/
