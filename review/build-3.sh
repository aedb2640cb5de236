#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: they are plain modules for Node.js without dependencies, so it only checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
	node --check "$file"
done
