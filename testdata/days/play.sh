#!/usr/bin/env bash
# Plays days of our own on the users' bench and prints one line for each run:
#
#   site day seed score verdict journal-entry
#
# The verdict is "ok", or what broke: rules, faults, or what fell short of the
# gate; or "not played" where the contracts of a site lack a trouble of the day.
# Run it in the root of the repository:
#
#   FLEETBENCH=.../fleetbench SITES=.../sites WHY="..." testdata/days/play.sh [-n SEEDS] [-f FIRST] [-s SITE]... [DAY...]
#
#   FLEETBENCH  the bench's program
#   SITES       the folders of the site files, joined by colons
#   WHY         the reason of the runs, for their journal entries
#   JOBS        the processors that the bench may use (2)
#   -n SEEDS    runs of each day, with the seeds FIRST, FIRST+1, ... (1)
#   -f FIRST    the first seed (1)
#   -s SITE     a site by its name; without any, all that the folders hold
#   DAY         names of days in this folder, or patterns; without any, all
#
# It ends with 1 if anything broke, with 2 if it was called wrongly.
set -uo pipefail

usage() { awk 'NR > 1 && !/^#/ { exit } NR > 1 { sub(/^# ?/, ""); print }' "$0" >&2; exit 2; }

seeds=1 first=1 sites=()
while getopts n:f:s: option; do
  case $option in
    n) seeds=$OPTARG ;;
    f) first=$OPTARG ;;
    s) sites+=("$OPTARG") ;;
    *) usage ;;
  esac
done
shift $((OPTIND - 1))
if [ -z "${FLEETBENCH:-}" ] || [ -z "${SITES:-}" ] || [ -z "${WHY:-}" ]; then usage; fi

folder=$(dirname "$0")
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

site_files() {
  local directory name
  for directory in ${SITES//:/ }; do
    if [ ${#sites[@]} -eq 0 ]; then ls "$directory"/*.toml; continue; fi
    for name in "${sites[@]}"; do
      if [ -f "$directory/$name.toml" ]; then echo "$directory/$name.toml"; fi
    done
  done
}

day_files() {
  if [ $# -eq 0 ]; then set -- '*'; fi
  local pattern
  for pattern in "$@"; do
    ls "$folder"/$pattern.toml || exit 2
  done
}

# verdict says what a run's output and report hold against it.
verdict() {
  local output=$1 report=$2
  local lacking
  lacking=$(grep -E '^fleetbench: .*contract .* is not open' "$output")
  if [ -n "$lacking" ]; then echo "not played (${lacking#fleetbench: })"; return; fi
  if [ ! -s "$report" ]; then echo "no report: $(tail -n 1 "$output")"; return; fi
  local broken
  broken=$(grep -E '^(rules broken|short of the gate|fault):' "$output" | tr '\n' ';')
  if ! grep -q '"fault": null' "$report"; then broken+=" $(grep '"fault":' "$report")"; fi
  echo "${broken:-ok}"
}

failures=0
play() {
  local site=$1 day=$2 seed=$3 name score result entry
  name=$(basename "$day" .toml)
  rm -f "$scratch/report"
  "$FLEETBENCH" run "$site" "$day" --seed "$seed" --jobs "${JOBS:-2}" \
    --report "$scratch/report" --why "$WHY" >"$scratch/output" 2>&1
  score=$(awk -v day="$name" '$1 == day { print $3; exit }' "$scratch/output")
  entry=$(awk '$1 == "snapshot" { print $2 }' "$scratch/output")
  result=$(verdict "$scratch/output" "$scratch/report")
  case $result in
    ok | "not played"*) ;;
    *) failures=$((failures + 1)) ;;
  esac
  echo "$(basename "$site" .toml) $name $seed ${score:--} $result ${entry:--}"
}

sites_to_play=$(site_files)
days_to_play=$(day_files "$@") || exit 2
if [ -z "$sites_to_play" ]; then echo "no site of that name" >&2; exit 2; fi
for site in $sites_to_play; do
  for day in $days_to_play; do
    for ((seed = first; seed < first + seeds; seed++)); do
      play "$site" "$day" "$seed"
    done
  done
done
if [ "$failures" -gt 0 ]; then echo "$failures runs broke something" >&2; exit 1; fi
