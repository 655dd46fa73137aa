# Starts the VMs and the stand-in of one case of the second review. Sourced by run.sh.
# shellcheck shell=bash

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
started=()
directory=$(mktemp -d)

end_all() {
    exec 2>/dev/null # The shell reports each process that it has killed.
    local pid
    for pid in "${started[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$directory"
}
trap end_all EXIT

# is_free IP PORT: nothing listens there.
is_free() { ! (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null; }

# pick_ports: sets base to the first of six ports that are free on the addresses of the VMs.
pick_ports() {
    local try ip port busy
    for try in $(seq 50); do
        base=$((20000 + (RANDOM + try) % 12000))
        busy=""
        for ip in 127.0.0.1 "${ips[@]}"; do
            for port in $(seq "$base" $((base + 5))); do is_free "$ip" "$port" || busy=1; done
        done
        [ -z "$busy" ] && return 0
    done
    return 1
}

# settings I: prints the settings of VM number I.
settings() {
    local seeds
    seeds=$(printf '"%s:%s",' "${ips[@]}" | sed "s/:\"/:$((base + 5))\"/g; s/,\$//")
    cat <<END
{"nodeName":"vm-$1","role":"node","machineClass":"front","serves":["front","control"],
 "ip":"${ips[$1]}","zone":"zone-a","region":"area-a","zones":{"zone-a":"area-a"},
 "listen":{"front":"${ips[$1]}:$((base + 1))","ready":"${ips[$1]}:$((base + 2))","control":"${ips[$1]}:$((base + 5))"},
 "internalPortRange":[$((base + 3)),$((base + 3))],"seeds":[$seeds],
 "bootstrap":true,"faultCounted":false,
 "limits":{"cpuShare":0.2,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0},
 "dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":870,
 "contracts":["base","drain","config","cost","retry","recover","own","places","tenants","quota","platform"],
 "faultTolerance":{"machines":1,"zones":0,"regions":0},
 "bounds":["contactMs=3000","ackMs=4000","drainMs=2000","graceS=6","configApplyMs=2000","retryBudgetRatio=0.2","budgetWindowS=10","budgetSlack=64","quotaWindowS=5","quotaOvershoot=0.1","quotaSlack=20","warmupOvershoot=1.5","warmupSlack=5","evacMs=5000","holdMaxMs=10000","thawMs=300"],
 "grants":"direct",
 "platform":{"address":"${ips[$1]}:$base","form":"table","writesPerS":400,"readsPerS":2000,"txMs":5.0,"partitionWritesS":200,"rowBytes":65536,"across":false,"historyS":20,"blobBytes":8388608,"blobMs":25.0,"blobMbS":80.0}}
END
}

# list PORT: prints the addresses of the VMs with PORT, separated by commas.
list() { printf "%s:$1," "${ips[@]}" | sed 's/,$//'; }

# run_case CASE FOLDER VMS: runs CASE with VMS VMs; exits with its result.
run_case() {
    local i
    cd "$root" || exit 2
    [ -x target/damaskward-node ] && [ -x build/review-2/standin ] || { echo "build first" >&2; exit 2; }
    ips=()
    for i in $(seq "$3"); do ips+=("127.0.$((RANDOM % 200 + 10)).$((RANDOM % 200 + 10))"); done
    pick_ports || { echo "no free ports" >&2; exit 2; }
    build/review-2/standin "$1" "$(list "$base")" "$(list $((base + 1)))" "$(list $((base + 2)))" \
        "$2/record.txt" "${TROUBLE:-1}" "$directory/pids" &
    local standin=$!
    started+=("$standin")
    for i in $(seq 0 $(($3 - 1))); do
        settings "$i" >"$directory/vm-$i.json"
        DAMASKWARD_BOOT="$directory/vm-$i.json" target/damaskward-node --metrics_port $((base + 4)) \
            >"${LOGS:-$directory}/vm-$i.log" 2>&1 &
        started+=("$!")
        echo "$!" >>"$directory/pids"
    done
    wait "$standin"
    local result=$?
    [ "$result" -le 1 ] || result=2
    exit "$result"
}
