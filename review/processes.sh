# Functions that start the machines of a small deployment on loopback, with the
# command and the settings of deploy/, and the stand-ins. Sourced by each run.sh.
# Every process that they start is ended when the script ends.

# Machines in each zone.
machines_per_zone=2
zones=(nabeul-a sfax-a kairouan-a)
# `limits.memory_mb` of the machines of ongtm-sched.
memory_mb=260
first_port=12000
last_port=30000
ports_per_machine=4
start_timeout_s=10

work=$(mktemp -d)
pids=()

is_open() {
    (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

# Prints the first port of a range on which nothing listens.
free_ports() {
    local count=$1 ranges start i base port
    ranges=$(((last_port - first_port) / count))
    start=$((RANDOM % ranges))
    for ((i = 0; i < ranges; i++)); do
        base=$((first_port + (start + i) % ranges * count))
        for ((port = base; port < base + count; port++)); do
            is_open "$port" && continue 2
        done
        echo "$base"
        return
    done
    return 1
}

clean_up() {
    local pid
    for pid in "${pids[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    sleep 0.5
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    if [ -n "${KEEP_LOGS:-}" ]; then
        mkdir -p "$KEEP_LOGS" && cp "$work"/* "$KEEP_LOGS"/
    fi
    rm -rf "$work"
}
trap clean_up EXIT

# Settings of one machine, as deploy/settings.jsonc makes them.
write_settings() {
    local name=$1 zone=$2 port=$3 store=$4
    cat >"$work/$name.jsonc" <<SETTINGS
{
    "vm": "$name",
    "zone": "$zone",
    "listen": {
        "callers": "127.0.0.1:$port",
        "ready": "127.0.0.1:$((port + 1))",
        "metrics": "127.0.0.1:$((port + 2))",
        "inner": "127.0.0.1:$((port + 3))"
    },
    "store": "127.0.0.1:$store",
    "regions": {"nabeul-a": "nabeul", "sfax-a": "sfax", "kairouan-a": "kairouan"},
    "processor_share": 0.25,
    "bounds": {
        "longest_lease_ms": 10000,
        "key_revocation_ms": 5000,
        "stop_limit_s": 6,
        "status_time_s": 120,
        "far_factor": 3
    }
}
SETTINGS
}

# Runs one machine ($1) until SIGTERM. As the platform does, ends its process once
# it has more memory than `memory_mb`, says so in the record ($2), and starts it
# again after a short delay.
run_machine() {
    local name=$1 record=$2 pid='' used
    trap '[ -z "$pid" ] || kill -KILL "$pid" 2>/dev/null; exit' TERM
    while :; do
        target/poplarramp serve-site --settings "$work/$name.jsonc" \
            >>"$work/$name.log" 2>&1 &
        pid=$!
        while kill -0 "$pid" 2>/dev/null; do
            used=$(awk '/^VmRSS/ { print int($2 / 1024) }' \
                "/proc/$pid/status" 2>/dev/null)
            if ((${used:-0} > memory_mb)); then
                kill -KILL "$pid"
                echo "platform kills $name, which has $used MB" >>"$record"
            fi
            sleep 0.1
        done
        wait "$pid" 2>/dev/null
        sleep 0.3
    done
}

# Runs the case ($1) with the stand-ins; writes the record to $2. Returns the
# exit code of the stand-in: 0 held, 1 broken, 2 could not run.
run_case() {
    local case=$1 record=$2 zone i base store port name fronts=() names=()
    local machines=$((machines_per_zone * ${#zones[@]}))
    base=$(free_ports $((1 + machines * ports_per_machine))) || return 2
    store=$base
    port=$((base + 1))
    for zone in "${zones[@]}"; do
        for ((i = 1; i <= machines_per_zone; i++)); do
            name=edge-$zone-$i
            write_settings "$name" "$zone" "$port" "$store"
            names+=("$name")
            fronts+=("127.0.0.1:$port")
            port=$((port + ports_per_machine))
        done
    done
    rm -f "$record"
    target/review/review-standin "$case" "$record" "$store" "${TROUBLE:-1}" \
        "${fronts[@]}" &
    local standin=$!
    pids+=("$standin")
    local end=$((SECONDS + start_timeout_s))
    until is_open "$store"; do
        ((SECONDS < end)) || return 2
        sleep 0.05
    done
    for name in "${names[@]}"; do
        run_machine "$name" "$record" &
        pids+=($!)
    done
    wait "$standin"
}
