#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the daemon, which the build of the deploy file makes. Their stand-ins are
# plain modules of Node.js that need no build; this checks that they can be read, and that the daemon has been built.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/{6,7,8,9,10}/run.mjs; do
	node --check "$file"
done
test -f target/daemon.blob
