#!/usr/bin/env bash
# Runs clang-tidy over the source files of the build in $1, or only over the files named after it. A file is skipped
# when it, the project headers that it includes and the settings are the same as when it was last clean.
# LINT_CACHE names the folder that remembers clean files; JOBS limits the parallel runs.
set -euo pipefail
build=$1
shift
cache="${LINT_CACHE:-$build/lint}"
mkdir -p "$cache"
settings=$(sha256sum <.clang-tidy | cut -c1-16)
dependencies=$(mktemp)
trap 'rm -f "$dependencies"' EXIT
# A range-based for over a member of a returned shared pointer reads what that temporary has already freed.
if git grep -nE 'for \([^;]*: [^;]*\(\)->[A-Za-z]+\)' -- 'src/*' 'platform/*' 'tests/*'; then
    echo "keep the pointer in the loop's init statement: for (const auto list = source.current(); ... : list->items)"
    exit 1
fi
# One line "SOURCE HEADER" for each project header that a source file includes.
ninja -C "$build" -t deps | awk -v root="$PWD/" '
    /#deps/ { source = ""; next }
    { path = $1; if (index(path, "../") == 1) path = root substr(path, 4) }
    index(path, root) != 1 { next }
    { path = substr(path, length(root) + 1) }
    source == "" { source = path; next }
    { print source, path }' | sort -u >"$dependencies"
export build cache settings dependencies
lint_one() {
    local stamp output
    stamp="$cache/$( (echo "$settings $1"; cat "$1" $(awk -v s="$1" '$1 == s { print $2 }' "$dependencies")) | sha256sum | cut -c1-32)"
    [ -e "$stamp" ] && return 0
    if output=$(clang-tidy --quiet -p "$build" "$1" 2>/dev/null); then
        touch "$stamp"
    else
        echo "$output"
        return 1
    fi
}
export -f lint_one
if [ $# -gt 0 ]; then printf '%s\n' "$@"; else git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp'; fi |
    xargs -P "${JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
echo "lint: clean"
