#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the program: the stand-ins are plain modules for Node.js, which are only checked here.
set -euo pipefail
cd "$(dirname "$0")"
for file in common-2/*.mjs [0-9]*/run.mjs; do
  node --check "$file"
done
