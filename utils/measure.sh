#!/usr/bin/env bash
# shellcheck disable=SC2016 # jq programs are in single quotes
# Measures a fleet of nine daemons and 36 backend servers behind the link relay, and the plain
# baseline (random server, up to 5 unbudgeted retries, no ranks) under the same load, and prints
# both. Usage: utils/measure.sh [--quick] [--user cooperative|family] [--no-build]
#   [--baseline-only] [--keep DIRECTORY]
#
# Service times are 300, 400 and 600 ms instead of 20, 40 and 60 ms, so that ten times the capacity,
# about 5,300 requests/s or 32,000 tries/s of the baseline, does not saturate the load generator and
# the fakes (one thread each; 60,000 tries/s did):
#   cooperative: lookup 96 slots / 300 ms = 320/s, orders 36 / 400 ms = 90/s,
#                statements 72 / 600 ms = 120/s
#   family:      pages 72 / 300 ms = 240/s, filings 36 / 400 ms = 90/s, archive 96 / 600 ms = 160/s
# Link caps are scaled to 0.5 MB/s (cooperative) and 7 MB/s (family), the ratio of the design page.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${DFM_BUILD:-build}
user=cooperative
seconds=10
build_first=1
ours=1
keep=

while (($# > 0)); do
  case $1 in
    --quick) seconds=3 ;;
    --user) user=${2:?--user needs a name}; shift ;;
    --no-build) build_first=0 ;;
    --baseline-only) ours=0 ;;
    --keep) keep=${2:?--keep needs a directory}; shift ;;
    *) echo "unknown option $1" >&2; exit 1 ;;
  esac
  shift
done
[ -d "examples/$user" ] || { echo "no sample fleet $user" >&2; exit 1; }

if ((build_first)); then
  utils/install.sh
  cmake -S . -B "$build" -G Ninja >/dev/null
  cmake --build "$build"
fi

work=$(mktemp -d)
. utils/fleet.sh
trap 'kill_all' EXIT
fleet=$work/fleet
cp -r "examples/$user" "$fleet"

case $user in
  cooperative) cap=500000 urgent=lookup bulk=statements ;;
  family) cap=7000000 urgent=pages bulk=archive ;;
esac

# rewrite FILE JQ_OPTION...: changes a JSON file in place.
rewrite() {
  jq "${@:2}" "$1" >"$work/rewritten" && mv "$work/rewritten" "$1"
}

# prepare_fleet: service times, limits, caps and the relay's endpoints of the measurement.
prepare_fleet() {
  local file
  rewrite "$fleet/backend-settings.json" '.services |= with_entries(
    .value.serviceMs = (.value.serviceMs | if . == 20 then 300 elif . == 40 then 400 else 600 end))'
  rewrite "$fleet/platform/fleet/services.json" '.services |= map(
    .expectedMs = (.expectedMs | if . == 20 then 300 elif . == 40 then 400 else 600 end) |
    if .rank == "urgent" then .deadlineMs = 3000 else . end)'
  # The limits must not refuse what the queues and ranks are measured with.
  rewrite "$fleet/platform/config/limits.json" \
    '.limits |= map(.requestsPerSecond = 20000 | .maxInFlight = 20000)'
  rewrite "$fleet/platform/fleet/links.json" --argjson cap "$cap" \
    '.links |= map(.capBytesPerSecond = $cap)'
  rewrite "$fleet/link.json" --argjson cap "$cap" \
    '.links |= map(if .from == .to then . else .capBytesPerSecond = $cap end)'
  for file in "$fleet"/vms/*.json; do
    rewrite "$file" --slurpfile link "$fleet/link.json" '.peers.listen as $advertised | .peers = {
      listen: ($link[0].destinations[] | select(.advertised == $advertised) | .real),
      advertised: $advertised}'
  done
}

# write_plan STAGE FACTOR FACTORS: rates at factor 1 use the whole capacity of each service; a fifth
# of the urgent service's requests lower their rank to bulk and compete for the same slots.
write_plan() {
  jq --argjson seconds "$seconds" --arg stage "$1" --argjson factor "$2" --argjson factors "$3" \
    --slurpfile backends "$fleet/platform/fleet/backends.json" \
    --slurpfile settings "$fleet/backend-settings.json" '
    def capacity($service): ([$backends[0].backends[] | select(.service == $service) | .slots] | add)
      * 1000 / $settings[0].services[$service].serviceMs;
    (.classes | map(.plan) | unique | length) as $plans |
    .classes |= map(.perSecond = capacity(.service) / $plans |
      if .rank == "urgent" then .deadlineMs = 3000 | .perSecond *= 0.8,
        (.rank = "bulk" | .name = "bulk-" + .name | .perSecond *= 0.2) else . end) |
    .classes as $classes |
    .phases = [{name: $stage, seconds: $seconds, factor: $factor, factors:
      ($classes | map({key: .name, value: (. as $class | $factors | to_entries |
        map(select(.key as $key | $class.name | startswith($key)) | .value) | .[0])}) |
        map(select(.value)) | from_entries)}]' "$fleet/load.json" >"$work/$1.plan.json"
}

reset_counters() {
  curl -sf -o /dev/null -X POST "http://$(backend_control_of "$fleet")/reset"
  curl -sf -o /dev/null -X POST "http://$(link_control_of "$fleet")/reset"
}

# watch_drain DOMAIN MARK: polls the backend servers of the failure domain during the load; prints
# the time from the mark to their last new request and to their last request in flight.
watch_drain() {
  local busy_until=$2 state end=$(($(now_ms) + seconds * 1000))
  while (($(now_ms) < end)); do
    state=$(curl -sf "http://$(backend_control_of "$fleet")/stats" |
      jq --arg domain "$1" '[.instances[] | select(.failureDomain == $domain) | .inFlight] | add')
    ((state == 0)) || busy_until=$(now_ms)
    sleep 0.1
  done
  curl -sf "http://$(backend_control_of "$fleet")/stats" | jq --arg domain "$1" --argjson mark "$2" \
    --argjson busy "$busy_until" '[.instances[] | select(.failureDomain == $domain) |
      .lastRequestMs] | max | {lastNewRequestMs: ([. - $mark, 0] | max),
      drainedMs: ($busy - $mark)}' >"$work/drain.state"
}

stage_number=0
# run_stage SIDE STAGE [EVENT...]: runs one load and collects all counters; the event is a command
# that runs during the load.
run_stage() {
  local side=$1 stage=$2 options=() report=$work/$1-$2
  shift 2
  stage_number=$((stage_number + 1))
  [ "$side" = ours ] || options=(--baseline --backends "$fleet/platform/fleet/backends.json")
  echo '{}' >"$work/drain.state"
  sleep 1
  reset_counters
  start_load "$fleet" "$work/$stage.plan.json" "$report.load" "${options[@]}"
  wait_until 30 grep -q '^phase' "$report.load.log" || fail "load: $(cat "$report.load.log")"
  if (($# > 0)); then "$@"; else sleep "$seconds"; fi
  curl -sf "http://$(backend_control_of "$fleet")/stats" >"$report.middle"
  finish_load "$report.load"
  curl -sf "http://$(backend_control_of "$fleet")/stats" >"$report.end"
  curl -sf "http://$(link_control_of "$fleet")/stats" >"$report.link"
  jq -n --arg side "$side" --arg stage "$stage" --argjson seconds "$seconds" --argjson cap "$cap" \
    --argjson number "$stage_number" --slurpfile load "$report.load" --slurpfile middle "$report.middle" \
    --slurpfile last "$report.end" --slurpfile link "$report.link" \
    --slurpfile drain "$work/drain.state" '
    ($load[0].links // $link[0].links | map(select(.from != .to) | .peakBytesPerSecond) | max // 0)
      as $peak |
    {side: $side, stage: $stage, number: $number, ranks: $load[0].phases[0].ranks, plans: $load[0].phases[0].plans,
     classes: $load[0].phases[0].classes, all: $load[0].phases[0].all, orders: $load[0].orders,
     overruns: $last[0].overruns, peakLink: $peak, linkUse: ($peak / $cap), drain: $drain[0],
     use: ($middle[0].instances | group_by(.service) | map({key: .[0].service,
       value: ((map(.busyMs) | add) / ((map(.slots) | add) * $seconds * 1000))}) | from_entries)}' \
    >"$report.json"
  echo "  $side $stage: done" >&2
}

kill_daemon() {
  sleep "$(jq -n "$seconds / 3")"
  end_process "$killed" KILL 2>/dev/null || true
  sleep "$(jq -n "$seconds * 2 / 3")"
}

drain_domain() {
  local mark
  sleep 1
  mark=$(now_ms)
  [ "$1" = baseline ] || edit_object "$(store_of "$fleet")" config/drains \
    ".drains = [{target: \"failure-domain\", name: \"$drained\", startsAt: $mark}]"
  watch_drain "$drained" "$mark"
}

stages=(half full triple tenfold bulk-flood urgent-flood)
run_side() {
  local stage
  for stage in "${stages[@]}"; do run_stage "$1" "$stage"; done
  [ "$1" = baseline ] || run_stage "$1" daemon-killed kill_daemon
  run_stage "$1" domain-drained drain_domain "$1"
}

print_tables() {
  local all=$work/all.json
  find "$work" '(' -name 'ours-*.json' -o -name 'baseline-*.json' ')' -exec jq -s 'sort_by(.number)' {} + >"$all"
  echo
  echo "latency and kept share by rank"
  { echo "stage rank side sent answered kept% p50ms p99ms p99.9ms unknown lost wrong"
    jq -r '.[] | . as $s | .ranks | to_entries[] | [$s.stage, .key, $s.side,
      .value.sent, .value.answered, (1000 * .value.answered / ([.value.sent, 1] | max) | round / 10),
      .value.p50Ms, .value.p99Ms, .value.p999Ms, .value.unknown, .value.lost, .value.wrong] |
      map(tostring) | join(" ")' "$all"; } | column -t
  echo
  echo "kept share by plan (%)"
  { echo "stage side plan sent answered kept%"
    jq -r '.[] | . as $s | .plans | to_entries[] | [$s.stage, $s.side, .key,
      .value.sent, .value.answered, (1000 * .value.answered / ([.value.sent, 1] | max) | round / 10)] |
      map(tostring) | join(" ")' "$all"; } | column -t
  echo
  echo "fleet"
  { echo "stage side peak-link-B/s of-cap% overruns double-runs false-not-run last-new-ms drained-ms use%"
    jq -r '.[] | [.stage, .side, .peakLink, (.linkUse * 1000 | round / 10),
      .overruns, .orders.doubleRuns, .orders.falseNotRun, (if .side == "baseline" and .drain.drainedMs then "never", "never"
        else .drain.lastNewRequestMs // "-", .drain.drainedMs // "-" end), (.use | to_entries | map("\(.key)=\(.value * 100 | round)") |
      join(","))] | map(tostring) | join(" ")' "$all"; } | column -t
  echo
  echo "refusals by reason"
  jq -r '.[] | "\(.stage) \(.side): \(.all.reasons | to_entries |
    map("\(.key)=\(.value)") | join(" "))"' "$all"
}

# print_targets: the targets of the design page that this run can show, for ours.
print_targets() {
  echo
  echo "targets"
  jq -r 'map(select(.side == "ours")) as $ours | ($ours | map({key: .stage, value: .}) | from_entries)
    as $stage | def row($text; $value; $holds):
      "\(if $holds then "met   " else "MISSED" end) \($text): \($value)";
    if ($ours | length) == 0 then empty else
    ($stage["bulk-flood"].ranks.urgent.p99Ms / $stage.half.ranks.urgent.p99Ms) as $ratio |
    ($stage["bulk-flood"].ranks.urgent | .answered / .sent) as $kept |
    ([$stage.tenfold.use[]] | min) as $use | ([$ours[].overruns] | add) as $overruns |
    ([$ours[].linkUse] | max) as $link | ([$ours[].orders.doubleRuns] | add) as $double |
    ([$ours[].orders.falseNotRun] | add) as $false | ([$ours[].all | .lost + .wrong] | add) as $lost |
    $stage["domain-drained"].drain.lastNewRequestMs as $drain |
    row("urgent p99 in the bulk flood, times that at half load (at most 2)"; $ratio; $ratio <= 2),
    row("urgent share kept in the bulk flood (all)"; $kept; $kept == 1),
    row("least slot use of a service at ten times capacity (0.9)"; $use; $use >= 0.9),
    row("slot overruns (0, but for the killed daemon)"; $overruns; $overruns == 0),
    row("peak link use in one second, of the cap (at most 1)"; $link; $link <= 1),
    row("double runs (0)"; $double; $double == 0), row("false not-run (0)"; $false; $false == 0),
    row("lost or wrong answers (0)"; $lost; $lost == 0),
    row("last new request to a drained domain, ms (3000)"; $drain; $drain <= 3000) end' \
    "$work/all.json"
}

prepare_fleet
killed=$(vm_names_of "$fleet" | sed -n 3p)
drained=$(jq -r '.vms[3].failureDomain' "$fleet/platform/fleet/roster.json")
write_plan half 0.5 '{}'
write_plan full 1 '{}'
write_plan triple 3 '{}'
write_plan tenfold 10 '{}'
# Ten times the capacity of a service: the bulk share of the urgent service is a fifth of it.
write_plan bulk-flood 0.5 "{\"bulk-$urgent\": 50, \"$bulk\": 10}"
write_plan urgent-flood 0.5 "{\"$urgent\": 12.5}"
write_plan daemon-killed 0.5 '{}'
write_plan domain-drained 0.5 '{}'

echo "$user: $seconds s for each stage, seed $(jq .seed "$fleet/load.json")," \
  "killed daemon $killed, drained failure domain $drained, commit $(git rev-parse --short HEAD)"
echo "machine: $(nproc) cores, load average $(cut -d' ' -f1-3 /proc/loadavg) before the run"
start_fakes "$fleet"
start_relay "$fleet"
if ((ours)); then
  start_daemons "$fleet"
  run_side ours
  stop_daemons "$fleet"
fi
run_side baseline
stop_fakes
print_tables
print_targets
[ -z "$keep" ] || { mkdir -p "$keep" && cp "$work"/*.json "$keep"; }
rm -r "$work"
