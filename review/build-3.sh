#!/usr/bin/env bash
# Prepares the cases in 11 to 15. Their stand-ins are plain JavaScript on Node's own modules, so that there is nothing to build; the syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-3/*.js 1[1-5]/case.js; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
