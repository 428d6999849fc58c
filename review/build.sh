#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs the packages that the build of deploy/system.toml installs.
cd "$(dirname "$0")/.." || exit 1
npx --no-install tsc -b
