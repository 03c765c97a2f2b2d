#!/usr/bin/env bash
# Runs clang-tidy over the whole workspace, or over the sources named. The workspace must have been built: ninja then knows what each
# source includes. A source is passed over where it was clean before with the same contents of all these files, rules and tool.
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

# 1. What each source includes, itself among it, as lines of SOURCE and FILE.
ninja -C "$build" -t deps | awk -v root="$PWD/" '
    /#deps/ { source = ""; next }
    /^ / {
        sub(/^ +/, "")
        if (sub(/^\.\.\/\.\.\//, "")) $0 = root $0 # as ccache writes it, from the build folder
        if (source == "") source = substr($0, length(root) + 1)
        print source "\t" $0
    }' | sort -u > "$work/includes"

# 2. One key for each source from the contents of these; the order does not depend on where the checkout is.
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

# 3. The sources that have changed; one that is clean leaves its key behind.
echo "lint: ${#files[@]} sources, $((${#changed[@]} / 2)) of them not known to be clean"
if [ ${#changed[@]} -gt 0 ]; then
    printf '%s\n' "${changed[@]}" | xargs -P "$(nproc)" -n 2 scripts/lint-one.sh "$build"
fi
