#!/usr/bin/env bash
# The stand-ins of cases 4 to 8 are plain JavaScript modules in support-2/ and need no build; this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in support-2/*.mjs [4-8]/*.mjs; do
	node --check "$file"
done
