#!/usr/bin/env bash
# Builds everything. Usage: build.sh [-p] [-d DIR] [cmake options...]
#   -p      install the Debian packages first
#   -d DIR  build directory (default: build)
set -euo pipefail
cd "$(dirname "$0")"
packages="libglib2.0-dev libsoup-3.0-dev libhttp-parser-dev zlib1g-dev libwebsocketpp-dev libboost-dev libabsl-dev libeasyloggingpp-dev
  catch2 libtrompeloeil-cpp-dev librapidcheck-dev nlohmann-json3-dev libpugixml-dev libxxhash-dev
  g++ cmake pkg-config ninja-build ccache clang-format clang-tidy python3 gnuplot-nox"
dir=build
while getopts pd: option; do
  case $option in
    p) export DEBIAN_FRONTEND=noninteractive
       apt-get update -qq
       # shellcheck disable=SC2086
       apt-get install -y -qq $packages >/dev/null ;;
    d) dir=$OPTARG ;;
    *) exit 2 ;;
  esac
done
shift $((OPTIND - 1))
cmake -S . -B "$dir" -G Ninja "$@" >"/dev/null"
ninja -C "$dir" --quiet
