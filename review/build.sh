#!/usr/bin/env bash
# Nothing has to be compiled: the stand-ins are modules that Node.js runs as they are. This checks that it can parse them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do node --check "$file"; done
