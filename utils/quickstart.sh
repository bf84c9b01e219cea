#!/usr/bin/env bash
# Builds dragonflymoor and shows it at work: for each of the two sample users it starts nine daemons
# with fakes of platform and backend servers, sends the work of the user's three services, kills a
# daemon under load, edits a limit and drains a backend server. Ends with status 0 only when
# everything that it checks holds. Set DFM_BUILD to use another build directory.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${DFM_BUILD:-build}

if [ "${1:-}" != --no-build ]; then
  utils/install.sh
  cmake -S . -B "$build" -G Ninja >/dev/null
  cmake --build "$build"
fi

logs=$(mktemp -d)
. utils/fleet.sh

# check TEXT REPORT JQ_CONDITION: the condition must hold for the report.
check() {
  if jq -e "$3" "$2" >/dev/null; then
    echo "  ok: $1"
  else
    fail "$1 ($3 in $2)"
  fi
}

# print_report REPORT: outcomes by service.
print_report() {
  jq -r '.phases[].classes | group_by(.service)[] | [.[0].service, (map(.sent) | add),
    (map(.answered) | add), (map(.notRun) | add), (map(.unknown) | add), (map(.lost) | add),
    (map(.p99Ms) | max), (map(.reasons | to_entries[]) | group_by(.key) |
      map("\(.[0].key)=\(map(.value) | add)") | join(" "))] | @tsv' "$1" |
    while IFS=$'\t' read -r service sent answered not_run unknown lost p99 reasons; do
      printf '  %-11s sent %5d  answered %5d  not-run %4d  unknown %3d  lost %3d  p99 %6.1f ms  %s\n' \
        "$service" "$sent" "$answered" "$not_run" "$unknown" "$lost" "$p99" "$reasons"
    done
  jq -r '.orders | "  orders: double runs \(.doubleRuns), false not-run \(.falseNotRun)"' "$1"
}

# Checks that hold after every load.
check_load() {
  check "no answer was wrong and no request lost" "$1" '[.phases[].all | .wrong + .lost] | add == 0'
  check "no order ran twice and every not-run is true" "$1" \
    '.orders | .doubleRuns + .falseNotRun + .answeredWithoutRun == 0'
}

# show USER KILLED_VM PLAN SERVICE DRAINED_SERVER
show() {
  local fleet=examples/$1 killed=$2 plan=$3 service=$4 drained=$5 marked
  echo "$1: starting nine daemons, 36 backend servers and the platform"
  start_fakes "$fleet"
  start_daemons "$fleet"

  echo "$1: 4 s of load; daemon $killed is killed after 2 s"
  start_load "$fleet" "$fleet/load.json" "$work/kill.json"
  sleep 2
  end_process "$killed" KILL 2>/dev/null || true
  finish_load "$work/kill.json"
  print_report "$work/kill.json"
  check_load "$work/kill.json"
  check "at least 98 % of the requests were answered" "$work/kill.json" \
    '.phases[0].all | .answered >= 0.98 * .sent'

  echo "$1: plan $plan is limited to 5 requests/s of $service"
  set_limit "$fleet" "$plan" "$service" 5
  sleep 3
  run_load "$fleet" "$fleet/load.json" "$work/limit.json"
  print_report "$work/limit.json"
  check_load "$work/limit.json"
  # 5 a second for 4 s, and one second's worth of burst.
  check "the limit is in force" "$work/limit.json" ".phases[0].classes[] |
    select(.plan == \"$plan\" and .service == \"$service\") |
    .answered <= 25 and .reasons[\"plan-rate-limit\"] > 0"
  check "other plans are not refused" "$work/limit.json" "[.phases[0].classes[] |
    select(.plan != \"$plan\") | .sent - .answered] | add == 0"

  echo "$1: backend server $drained is drained"
  add_drain "$fleet" backend-server "$drained"
  marked=$(now_ms)
  run_load "$fleet" "$fleet/load.json" "$work/drain.json"
  print_report "$work/drain.json"
  check_load "$work/drain.json"
  curl -sf "http://$(backend_control_of "$fleet")/stats" >"$work/stats.json"
  check "the server got no new request later than 3 s after the drain" "$work/stats.json" \
    ".instances[] | select(.id == \"$drained\") | .lastRequestMs < $marked + 3000"
  check "other servers still got requests" "$work/stats.json" \
    "[.instances[].lastRequestMs] | max > $marked + 3500"
  check "no slot was overrun" "$work/stats.json" '.overruns == 0'

  stop_daemons "$fleet"
  echo "  ok: the remaining daemons stopped gracefully"
  stop_fakes
}

# run USER ARGUMENT...: shows one user with logs and processes of its own.
run() (
  work=$logs/$1
  mkdir "$work"
  trap 'kill_all' EXIT
  show "$@"
)

# The two fleets share no address and run side by side; their texts are printed one after the other.
trap 'kill "${shows[@]}" 2>/dev/null || true' EXIT
run cooperative gauteng-b-1 members-small lookup lookup-western-cape-a-1 >"$logs/1" 2>&1 &
shows=($!)
run family attica-b-1 public pages pages-macedonia-a-1 >"$logs/2" 2>&1 &
shows+=($!)
status=0
for number in 1 2; do
  wait "${shows[$((number - 1))]}" || status=1
  cat "$logs/$number"
done
trap - EXIT
((status == 0)) || fail "something does not hold; logs are in $logs"
rm -r "$logs"
echo "quickstart: everything holds, $SECONDS s"
