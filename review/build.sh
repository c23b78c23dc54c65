#!/bin/sh
# The stand-ins of the cases are plain modules for Node.js and need no build; this checks that each of them can be parsed.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */run.mjs; do
	node --check "$file"
done
