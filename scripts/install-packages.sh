#!/usr/bin/env bash
# Installs every Debian package that the build, the linters and the tests need.
set -euo pipefail
packages=(
    g++ clang clang-format clang-tidy libclang-rt-14-dev cmake ninja-build ccache curl
    libboost1.81-dev libabsl-dev libfmt-dev doctest-dev libyaml-cpp-dev
    librapidcheck-dev libxxhash-dev libsodium-dev nlohmann-json3-dev pkg-config
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -eq 0 ]; then
    exit 0
fi
as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
