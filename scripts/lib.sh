# Functions shared by the scripts: building the tree, starting processes and stopping those started.
# shellcheck shell=bash

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${DAMASKWARD_BUILD:-$root/build/release}
started=()

die() { echo "$(basename "$0"): $1" >&2; exit 1; }

build_all() {
    command -v c++ >/dev/null || "$root/setup" || die "no C++ compiler; run ./setup as a user who may install packages"
    "$root/setup" || die "the setup failed"
    cmake -S "$root" -B "$build" -G Ninja >"$root/build/cmake.log" 2>&1 || die "cmake failed, see build/cmake.log"
    ninja -C "$build" >"$root/build/ninja.log" 2>&1 || { tail -30 "$root/build/ninja.log"; die "the build failed"; }
}

# start LOGFILE PROGRAM ARGS...: starts PROGRAM in the background and stores its process id in $last.
start() {
    local log=$1
    shift
    "$@" >"$log" 2>&1 &
    last=$!
    started+=("$last")
}

end_all() {
    local pid
    for pid in "${started[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -TERM "$pid" 2>/dev/null
    done
    sleep 0.2
    for pid in "${started[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
}

# need_port IP PORT: exits with a one-line error when the port is in use.
need_port() {
    if (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null; then
        die "port $2 of $1 is busy; end what listens there"
    fi
}

# until_ok SECONDS COMMAND...: repeats COMMAND until it succeeds; fails after SECONDS.
until_ok() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ "$SECONDS" -lt "$end" ] || return 1
        sleep 0.1
    done
}
