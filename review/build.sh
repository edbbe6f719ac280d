#!/usr/bin/env bash
# The stand-ins of the cases are plain Node.js modules without dependencies; this checks that they can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.mjs [0-9]/*.mjs; do node --check "$file"; done
