#!/bin/bash
# Builds every stand-in that the scripts of review/11 to 15 start. They are plain JavaScript for the Node.js that runs the gateway,
# without dependencies, so that checking them is all there is to do. The gateway itself is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-3/*.mjs 1[1-5]/*.mjs; do [ ! -e "$file" ] || node --check "$file"; done
