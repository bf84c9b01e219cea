#!/usr/bin/env bash
# Runs nine daemons of a sample fleet on real sockets and causes faults under load: a daemon is paused
# (SIGSTOP) and resumed, the store goes down and returns, and a daemon is killed while it is down.
# Ends with status 0 only when no request was lost, no answer was wrong, no order ran twice and every
# not-run was true. Usage: utils/faults.sh [cooperative|family]. Needs a build in $DFM_BUILD or build.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${DFM_BUILD:-build}
user=${1:-cooperative}
fleet=examples/$user
[ -d "$fleet" ] || { echo "no sample fleet $user" >&2; exit 1; }

work=$(mktemp -d)
failed=()
. utils/fleet.sh
trap 'kill_all' EXIT

# check_load STAGE REPORT
check_load() {
  jq -r '.phases[].all | "  sent \(.sent)  answered \(.answered)  not-run \(.notRun)  unknown \(.unknown)  lost \(.lost)  wrong \(.wrong)"' "$2"
  jq -r '.orders | "  double runs \(.doubleRuns)  false not-run \(.falseNotRun)"' "$2"
  jq -e '([.phases[].all | .wrong + .lost] | add == 0) and
    (.orders | .doubleRuns + .falseNotRun + .answeredWithoutRun == 0)' "$2" >/dev/null ||
    failed+=("$1")
}

# store_down refuse|no: makes the store refuse connections or serve again, and checks that it does.
store_down() {
  curl -s -X POST --data "{\"down\": \"$1\"}" "http://${store%:*}:7001/fault" >/dev/null || true
  if [ "$1" = no ]; then
    curl -sf "http://$store/vms" >/dev/null || fail "the store did not return"
  elif curl -sf --max-time 1 "http://$store/vms" >/dev/null; then
    fail "the store still answers"
  fi
}

store=$(store_of "$fleet")
mapfile -t vms < <(vm_names_of "$fleet")
start_fakes "$fleet"
start_daemons "$fleet"

echo "$user: daemon ${vms[0]} is paused for 3 s under load"
start_load "$fleet" "$fleet/load.json" "$work/pause.json"
sleep 0.5
kill -s STOP "${pids[${vms[0]}]}"
sleep 3
kill -s CONT "${pids[${vms[0]}]}"
finish_load "$work/pause.json"
check_load pause "$work/pause.json"

echo "$user: the store is down for the whole load; daemon ${vms[1]} is killed"
store_down refuse
start_load "$fleet" "$fleet/load.json" "$work/store.json"
sleep 2
end_process "${vms[1]}" KILL 2>/dev/null || true
finish_load "$work/store.json"
check_load "store down" "$work/store.json"

echo "$user: the store has returned"
store_down no
sleep 6
run_load "$fleet" "$fleet/load.json" "$work/after.json"
check_load "store up" "$work/after.json"
jq -e '[.phases[].all | .answered] | add > 0.98 * ([input.phases[].all | .sent] | add)' \
  "$work/after.json" "$work/after.json" >/dev/null || failed+=("recovery")

stop_daemons "$fleet"
stop_fakes
((${#failed[@]} == 0)) || fail "${failed[*]}; see the reports in $work"
rm -r "$work"
echo "faults: everything holds"
