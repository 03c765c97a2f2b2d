#!/usr/bin/env bash
# Runs clang-tidy on all sources, or on the given ones. The workspace must be built first, since the include dependencies are
# taken from ninja. A source is skipped if an earlier run without warnings had the same source, includes, rules and tool.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build/release
cache=${XDG_CACHE_HOME:-$HOME/.cache}/medlarway-lint
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p "$cache"

if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'tests/*.cpp' 'bench/*.cpp' 'examples/*.cpp')
fi

# 1. The files on which each source depends, including itself, as lines of SOURCE and FILE.
ninja -C "$build" -t deps | awk -v root="$PWD/" '
    /#deps/ { source = ""; next }
    /^ / {
        sub(/^ +/, "")
        if (sub(/^\.\.\/\.\.\//, "")) $0 = root $0 # ccache writes paths relative to the build folder
        if (source == "") source = substr($0, length(root) + 1)
        print source "\t" $0
    }' | sort -u > "$work/includes"

# 2. A key for each source, from the hashes of these files. Their order does not depend on the path of the checkout.
(cd "$build" && cut -f 2 "$work/includes" | sort -u | xargs -d '\n' sha256sum) > "$work/hashes"
setup=$({ clang-tidy --version; cat .clang-tidy CMakeLists.txt CMakePresets.json cmake/*.cmake; } | sha256sum)
awk -F '\t' 'NR == FNR { hash[substr($0, 67)] = substr($0, 1, 64); next } { print $1 "\t" hash[$2] }' \
    "$work/hashes" "$work/includes" | sort -u > "$work/contents"
changed=()
for file in "${files[@]}"; do
    contents=$(awk -F '\t' -v file="$file" '$1 == file { print $2 }' "$work/contents")
    key=$(echo "$file $setup $contents" | sha256sum | cut -c 1-64)
    [ -n "$contents" ] && [ -e "$cache/$key" ] || changed+=("$file" "$cache/$key")
done

# 3. Check the sources whose key is not in the cache. If there are no warnings, the key is stored.
echo "lint: ${#files[@]} sources, $((${#changed[@]} / 2)) of them not known to be clean"
if [ ${#changed[@]} -gt 0 ]; then
    printf '%s\n' "${changed[@]}" | xargs -P "$(nproc)" -n 2 scripts/lint-one.sh "$build"
fi
