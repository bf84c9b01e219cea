# shellcheck shell=bash disable=SC2154
# Functions that run a fleet of nine daemons with its fakes on loopback addresses. Sourced by
# quickstart.sh and measure.sh, which set `build` (build directory) and `work` (directory for logs).

declare -A pids=()

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

# start_process NAME COMMAND...: runs the command in the background, with its log in $work/NAME.log.
start_process() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

# end_process NAME SIGNAL: sends the signal (0 for none) and waits; returns the exit status.
end_process() {
  local pid=${pids[$1]:-}
  [ -n "$pid" ] || return 0
  unset "pids[$1]"
  kill -s "$2" "$pid" 2>/dev/null || true
  wait "$pid"
}

# kill_all: ends everything that is still running; for the exit trap.
kill_all() {
  local name
  for name in "${!pids[@]}"; do
    end_process "$name" KILL 2>/dev/null || true
  done
}

# wait_until SECONDS COMMAND...: repeats the command until it succeeds.
wait_until() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    ((SECONDS < end)) || return 1
    sleep 0.1
  done
}

now_ms() { date +%s%3N; }

# Endpoints of a fleet directory, from its own files.
store_of() { jq -r .store "$(find "$1/vms" -name '*.json' | sort | head -1)"; }
backend_control_of() { echo "$(store_of "$1" | sed 's/\.250:.*/.251/'):7100"; }
link_control_of() { jq -r .control "$1/link.json"; }
vm_names_of() { jq -r '.vms[].id' "$1/platform/fleet/roster.json"; }

# start_fakes FLEET: the platform and the backend servers.
start_fakes() {
  local store
  store=$(store_of "$1")
  start_process platform "$build/tools/fake-platform/fake-platform" --listen "$store" \
    --control "${store%:*}:7001" --objects "$1/platform"
  start_process backends "$build/tools/fake-backend/fake-backend" \
    --backends "$1/platform/fleet/backends.json" --settings "$1/backend-settings.json" \
    --control "$(backend_control_of "$1")"
  wait_until 5 curl -sf "http://$store/vms" || fail "the fake platform does not answer"
  wait_until 5 curl -sf "http://$(backend_control_of "$1")/stats" ||
    fail "the fake backend servers do not answer"
}

# start_relay FLEET: the relay between regions.
start_relay() {
  start_process link "$build/tools/fake-link/fake-link" --config "$1/link.json"
  wait_until 5 curl -sf "http://$(link_control_of "$1")/stats" || fail "the relay does not answer"
}

# A daemon of a fleet that starts as a whole has no share of plan limits and links until the others
# have confirmed the roster, which they do once loans of an earlier run have surely expired.
share_start_seconds=7

# start_daemons FLEET: all daemons; returns when all are ready and have their shares.
start_daemons() {
  local name
  for name in $(vm_names_of "$1"); do
    start_process "$name" "$build/tools/dragonflymoord/dragonflymoord" \
      --config "$1/vms/$name.json"
  done
  for name in $(vm_names_of "$1"); do
    wait_until 15 curl -sf "http://$(jq -r .operators "$1/vms/$name.json")/readyz" ||
      fail "daemon $name is not ready; see $work/$name.log"
  done
  sleep "$share_start_seconds"
}

# stop_daemons FLEET: graceful stop of all daemons that still run; each must end with status 0.
stop_daemons() {
  local name
  for name in $(vm_names_of "$1"); do
    # A daemon of a drained failure domain has ended by itself.
    [ -z "${pids[$name]:-}" ] || kill -s TERM "${pids[$name]}" 2>/dev/null || true
  done
  for name in $(vm_names_of "$1"); do
    end_process "$name" 0 || fail "daemon $name did not stop gracefully; see $work/$name.log"
  done
}

# stop_fakes: ends platform, backend servers and relay.
stop_fakes() {
  local name
  for name in platform backends link; do
    end_process "$name" TERM || fail "$name ended with an error; see $work/$name.log"
  done
}

# get_object STORE NAME
get_object() { curl -sf "http://$1/objects/$2"; }

# edit_object STORE NAME JQ_FILTER: conditional update of an object through the object API.
edit_object() {
  local headers=$work/object.headers version status
  curl -sf -D "$headers" "http://$1/objects/$2" | jq "$3" >"$work/object.json"
  version=$(sed -n 's/^etag: *"\([0-9]*\)".*/\1/ip' "$headers")
  status=$(curl -s -o /dev/null -w '%{http_code}' -X PUT -H "If-Match: \"$version\"" \
    --data-binary "@$work/object.json" "http://$1/objects/$2")
  [ "$status" = 200 ] || fail "update of $2 was answered with status $status"
}

# set_limit FLEET PLAN SERVICE REQUESTS_PER_SECOND: changes a plan's limit with the operators' tool.
set_limit() {
  "$build/tools/dragonflymoorctl/dragonflymoorctl" --store "$(store_of "$1")" \
    set limits "$2/$3" "requestsPerSecond=$4" >"$work/ctl.log" 2>&1 ||
    fail "set limits: $(cat "$work/ctl.log")"
}

# add_drain FLEET TARGET NAME: adds a drain with the operators' tool, which asks all daemons that
# still run whether the remaining servers can carry the load.
add_drain() {
  local operators=() name
  for name in $(vm_names_of "$1"); do
    [ -z "${pids[$name]:-}" ] || operators+=("$(jq -r .operators "$1/vms/$name.json")")
  done
  "$build/tools/dragonflymoorctl/dragonflymoorctl" --store "$(store_of "$1")" \
    --operators "$(IFS=, && echo "${operators[*]}")" drain add "$2" "$3" >"$work/ctl.log" 2>&1 ||
    fail "drain add: $(cat "$work/ctl.log")"
}

# start_load FLEET PLAN REPORT [OPTION...]: starts a load that writes its report as JSON.
start_load() {
  local fleet=$1 plan=$2 report=$3
  shift 3
  "$build/tools/dragonflymoor-load/dragonflymoor-load" --plan "$plan" --output json \
    --backend_control "$(backend_control_of "$fleet")" "$@" >"$report" 2>"$report.log" &
  pids[load]=$!
}

# finish_load REPORT: waits until the load has ended.
finish_load() {
  end_process load 0 || fail "load: $(cat "$1.log")"
}

# run_load FLEET PLAN REPORT [OPTION...]
run_load() {
  start_load "$@"
  finish_load "$3"
}
