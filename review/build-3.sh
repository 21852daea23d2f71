#!/bin/bash
# Builds the stand-ins and cases of the scripts of the third review into target/review-3/,
# after the build of the deploy file, whose libraries and packages suffice: that build
# leaves out the project's own stand-ins of fakes/.
set -e
cd "$(dirname "$0")/.."
out=target/review-3
packages="glib-2.0 libzmq yaml-0.1 libprotobuf-c jansson libxxhash"
mkdir -p "$out"
for name in store runner; do
  gcc -std=gnu11 -O1 -w -D_GNU_SOURCE -DH2O_USE_LIBUV=0 -I. $(pkg-config --cflags $packages) "fakes/$name.c" fakes/lib/*.c \
    -Wl,--start-group target/libcb_*.a -Wl,--end-group -lh2o-evloop -lssl -lcrypto -lz -lm \
    $(pkg-config --libs $packages) -lpthread -o "$out/carobrun-fake-$name"
done
for case in review/{11,12,13,14,15}/case.cc; do
  [ -f "$case" ] || continue
  n=$(basename "$(dirname "$case")")
  g++ -std=c++17 -O1 -Wall -Wextra -Ireview/standin-3 "$case" -o "$out/case-$n" -pthread
done
