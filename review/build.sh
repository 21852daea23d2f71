#!/bin/bash
# Builds the stand-ins and the drivers of the cases, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
out=review/build
rm -rf $out && mkdir -p $out
deps="glib-2.0 libzmq yaml-0.1 libprotobuf-c jansson libxxhash"
parts=$(ls target/libcb_*.a)
gcc -O1 -g -std=gnu11 -D_GNU_SOURCE -DH2O_USE_LIBUV=0 -I. $(pkg-config --cflags $deps) \
	fakes/store.c fakes/lib/*.c -o $out/carobrun-fake-store \
	-Wl,--start-group $parts -Wl,--end-group -lh2o-evloop -lssl -lcrypto -lz -lm $(pkg-config --libs $deps) -lpthread
g++ -O1 -g -std=c++14 -D_GNU_SOURCE -Wall -Ireview/lib review/lib/runner.cc -o $out/runner -ljansson -lpthread &
g++ -O1 -g -std=c++14 -D_GNU_SOURCE -Wall -Ireview/lib review/lib/store.cc -o $out/store -lpthread &
for source in review/[1-9]/case.cc; do
	number=$(basename "$(dirname "$source")")
	g++ -O1 -g -std=c++14 -D_GNU_SOURCE -Wall -Ireview/lib "$source" -o $out/case-"$number" -lpthread &
done
wait
for program in runner store $(for source in review/[1-9]/case.cc; do echo case-$(basename "$(dirname "$source")"); done); do
	test -x $out/$program
done
