#!/usr/bin/env bash
# Builds the project's own stand-in of the platform's store for the scripts of the cases; the other stand-ins, in review/lib, need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p .build/review
node --input-type=module -e "
import {bundle} from './scripts/bundle.mjs';
await bundle('standins/store.ts', '.build/review/store.mjs');
"
