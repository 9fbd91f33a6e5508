#!/usr/bin/env bash
# Installs the build and test dependencies from Debian's packages.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy git
    libboost1.74-dev libboost-log1.74-dev libboost-thread1.74-dev libboost-system1.74-dev
    libboost-coroutine1.74-dev libboost-context1.74-dev libboost-program-options1.74-dev
    libwebsocketpp-dev nlohmann-json3-dev libpopt-dev libxxhash-dev libssl-dev
    catch2 libtrompeloeil-cpp-dev librapidcheck-dev libbenchmark-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    apt-get install -y -qq "${missing[@]}" >/dev/null
fi
echo "packages: present"
