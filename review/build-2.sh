#!/usr/bin/env bash
# Prepares the cases in 6 to 10. Their stand-ins are plain JavaScript on Node's own modules, so that there is nothing to build; the syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.js 6/case.js 7/case.js 8/case.js 9/case.js 10/case.js; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
