#!/usr/bin/env bash
# Checks the format of every source file, or corrects it with --fix.
set -euo pipefail
mode=(--dry-run --Werror)
[ "${1:-}" = "--fix" ] && mode=(-i)
git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs clang-format "${mode[@]}"
