#!/usr/bin/env bash
# Builds the programs of the review's script cases and the project's own stand-ins that they use, after the build of the
# deploy file. Everything goes to target/review; the program under test is target/lagoonrouter.
set -eu
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Isrc -Itests -Ireview -D_TURN_OFF_PLATFORM_STRING -DLAGOONROUTER_PROGRAM="\"$PWD/target/lagoonrouter\""
    -DSTANDIN_PLATFORM_PROGRAM='""' -DSTANDIN_ENGINE_PROGRAM='""' -DSTANDIN_SERVICE_PROGRAM='""'
    -DSTANDIN_WEIGHTS_PROGRAM='""' -DFAULT_PROXY_PROGRAM="\"$PWD/$out/faultproxy\"")
sources=(tests/fleet/fleet.cpp tests/fleet/serverstandins.cpp tests/fleet/storestandin.cpp tests/fleet/streamevents.cpp
    tests/support/childprocess.cpp tests/support/programs.cpp tests/support/temporaryfolder.cpp tests/support/waitfor.cpp
    tests/standins/common/httpserver.cpp tests/standins/common/tcpacceptor.cpp tests/standins/common/standinprogram.cpp
    tests/support/httpcall.cpp)
proxy=(tests/standins/proxy/main.cpp tests/standins/proxy/chunkreader.cpp tests/standins/proxy/faultproxy.cpp
    tests/standins/proxy/proxiedconnection.cpp tests/standins/proxy/streamfaults.cpp tests/standins/proxy/streamrelay.cpp)
objects=()
pids=()
objectOf() { echo "$out/$(echo "$1" | tr / _ | sed 's/cpp$/o/')"; }
for source in "${sources[@]}" "${proxy[@]}" review/[1-5]/*.cpp; do
    [ -e "$source" ] || continue
    object=$(objectOf "$source")
    while [ "$(jobs -rp | wc -l)" -ge 8 ]; do wait -n; done
    g++ "${flags[@]}" -c "$source" -o "$object" &
    pids+=($!)
    case "$source" in review/* | tests/standins/proxy/*) ;; *) objects+=("$object") ;; esac
done
for pid in "${pids[@]}"; do wait "$pid"; done
libraries=(target/src/http/liblagoon_http.a target/src/framework/liblagoon_framework.a -lcpprest -lboost_program_options
    -lboost_system -lssl -lcrypto -lprometheus-cpp-core -llog4cxx -lpthread)
for source in review/[1-5]/*.cpp; do
    [ -e "$source" ] || continue
    g++ "$(objectOf "$source")" "${objects[@]}" "${libraries[@]}" -o "$out/case$(basename "$(dirname "$source")")"
done
proxyObjects=()
for source in "${proxy[@]}"; do proxyObjects+=("$(objectOf "$source")"); done
g++ "${proxyObjects[@]}" "${objects[@]}" "${libraries[@]}" -o "$out/faultproxy"
