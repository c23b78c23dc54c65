#!/bin/sh
# The stand-ins of the cases 6 to 10 are plain JavaScript modules that run as they are; this checks that each of them can be parsed.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
	if [ -e "$file" ]; then
		node --check "$file"
	fi
done
