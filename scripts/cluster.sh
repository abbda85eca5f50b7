# Functions that start and stop a deployment on loopback. Sourced by scripts/demo and by tests with processes.
#
# Each run uses loopback addresses of its own, made from the process id, so that runs can go side by side.
# Arrays: CONTROL_PIDS, ENTRY_PIDS, STANDIN_PIDS by index from 0.

BUILD="${FIGHOLD_BUILD:-$ROOT/build}"
DAEMON="$BUILD/packages/figholdd/figholdd"
CTL="$BUILD/packages/ctl/figholdctl"
SUBNET="127.$(( ($$ >> 7) % 250 + 2 )).$(( ($$ % 128) * 2 + 1 ))"
RUN_DIR="$(mktemp -d "${TMPDIR:-/tmp}/fighold-run-XXXXXX")"
CONTROLS=3
CONTROL_PIDS=()
ENTRY_PIDS=()
STANDIN_PIDS=()
ENTRY_ADDRESSES=""
CONTROL_HTTP=""
CONTROL_LIST=""
EXPECTED_SERVERS=0

# Waits until a command succeeds; fails after a generous limit of 30 s.
wait_for() {
  local n
  for n in $(seq 1 300); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "timed out waiting for: $*" >&2
  return 1
}

# Keys of all daemons that the deployment may start, made before the control processes read them.
prepare_keys() {
  local n
  mkdir -p "$RUN_DIR/keys"
  for n in $(seq 1 "$CONTROLS"); do "$CTL" keys new "$RUN_DIR/keys/c$n" >/dev/null; done
  for n in $(seq 1 $(( $(wc -w <<<"$REGIONS") * ENTRIES_PER_REGION + 3 ))); do
    "$CTL" keys new "$RUN_DIR/keys/e$n" >/dev/null
  done
}

prepare_addresses() {
  local n
  prepare_keys
  for n in $(seq 1 "$CONTROLS"); do
    CONTROL_LIST="$CONTROL_LIST${CONTROL_LIST:+,}c$n=$SUBNET.$n:7100"
    CONTROL_HTTP="$CONTROL_HTTP${CONTROL_HTTP:+,}$SUBNET.$n:7000"
  done
}

start_control() {
  local n=$1
  "$DAEMON" --role=control --id="c$n" --listen="$SUBNET.$n:7000" --message_listen="$SUBNET.$n:7100" \
    --controls="$CONTROL_LIST" --data="$RUN_DIR/c$n" --charts="$ROOT/charts" --logtostderr \
    --key_file="$RUN_DIR/keys/c$n" --peer_keys="$RUN_DIR/keys" \
    >>"$RUN_DIR/c$n.out" 2>>"$RUN_DIR/c$n.log" &
  CONTROL_PIDS[n - 1]=$!
}

start_entry() {
  local n=$1 region=$2
  "$DAEMON" --role=entry --id="e$n" --region="$region" --data_centre="$region-$(( n % 2 ))" \
    --listen="$SUBNET.$((100 + n)):8080" --controls="$CONTROL_LIST" --charts="$ROOT/charts" --logtostderr \
    --key_file="$RUN_DIR/keys/e$n" --peer_keys="$RUN_DIR/keys" \
    --lookup_ttl_ms="${LOOKUP_TTL_MS:-2000}" >>"$RUN_DIR/e$n.out" 2>>"$RUN_DIR/e$n.log" &
  ENTRY_PIDS[n - 1]=$!
}

start_controls() {
  local n
  for n in $(seq 1 "$CONTROLS"); do start_control "$n"; done
  wait_for "$CTL" --controls="$CONTROL_HTTP" status
}

start_entries() {
  local n=0 region i
  for region in $REGIONS; do
    for i in $(seq 1 "$ENTRIES_PER_REGION"); do
      n=$((n + 1))
      ENTRY_ADDRESSES="$ENTRY_ADDRESSES${ENTRY_ADDRESSES:+,}$SUBNET.$((100 + n)):8080"
      start_entry "$n" "$region"
    done
  done
}

# One stand-in process for each region, with that region's backend servers of every service.
start_standins() {
  local region index=0 service count slots connections list i
  for region in $REGIONS; do
    list=""
    for service in $SERVICES; do
      IFS=: read -r service count slots connections <<<"$service"
      count=$(cut -d+ -f$((index + 1)) <<<"$count$( [[ $count == *+* ]] || printf '+%s+%s' "$count" "$count")")
      EXPECTED_SERVERS=$((EXPECTED_SERVERS + count))
      for i in $(seq 1 "$count"); do
        list="$list${list:+,}$region-$service-$i:$service:$region:$region-$(( i % 2 )):$slots:$connections"
      done
    done
    "$BUILD/tests/backend_standin" --entries="$ENTRY_ADDRESSES" --servers="$list" >>"$RUN_DIR/standin-$region.out" 2>&1 &
    STANDIN_PIDS[index]=$!
    index=$((index + 1))
  done
}

status() { "$CTL" --controls="$CONTROL_HTTP" status; }

count_status() { status 2>/dev/null | grep -c "$1"; }

# all_serving ENTRIES SERVERS: every entry is current and every backend server serves.
all_serving() {
  local text
  text=$(status) || return 1
  [ "$(grep '^entry' <<<"$text" | grep -vc 'cut off')" -eq "$1" ] && [ "$(grep -c 'serving$' <<<"$text")" -eq "$2" ]
}

stop_process() {
  kill -TERM "$1" 2>/dev/null || true
}

# Ends whatever still runs, for use in a trap.
stop_all() {
  local code=$? pid
  set +e
  for pid in "${STANDIN_PIDS[@]}" "${ENTRY_PIDS[@]}" "${CONTROL_PIDS[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  [ -n "${KEEP_RUN_DIR:-}" ] || rm -rf "$RUN_DIR"
  exit "$code"
}
