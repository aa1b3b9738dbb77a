#!/usr/bin/env bash
# Installs the build and test dependencies on Debian 12, unless all are installed.
set -euo pipefail
export DEBIAN_FRONTEND=noninteractive
sudo_if_needed=""
[ "$(id -u)" = 0 ] || sudo_if_needed=sudo
packages="g++ cmake ninja-build ccache pkg-config clang-format clang-tidy libclang-rt-14-dev libabsl-dev libboost-dev libzmq3-dev cppzmq-dev \
  libprotobuf-dev protobuf-compiler prometheus-cpp-dev libcpp-httplib-dev libcli11-dev libgoogle-glog-dev \
  nlohmann-json3-dev librapidcheck-dev libgtest-dev libgmock-dev libssl-dev python3 curl"
# shellcheck disable=SC2086
if dpkg-query -W -f='${Status}\n' $packages 2>/dev/null | grep -vq "install ok installed" || ! dpkg-query -W $packages >/dev/null 2>&1; then
    $sudo_if_needed apt-get update -qq
    # shellcheck disable=SC2086
    $sudo_if_needed apt-get install -y -qq --no-install-recommends $packages
fi
