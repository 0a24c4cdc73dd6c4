#!/usr/bin/env bash
# play.sh CASE FOLDER [CORES]: plays a case with the commands of the deploy file. The stand-in "bed"
# writes the settings from the templates of the deploy file; this script starts the processes,
# and starts them again after they end. A machine of DEPLOY.md shows a process one core, and Go
# then runs one thread of its code at a time: with CORES = 1 it does so here too. Without CORES
# the processes use all cores of this machine.
# Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
name=$1
folder=$(cd "$2" && pwd) || exit 2
if [ -n "${3:-}" ]; then cores="GOMAXPROCS=$3"; else cores="GOMAXPROCS="; fi
cd "$(dirname "$0")/.." || exit 2
if ! [ -x target/endivefall ] || ! [ -x target/bed ]; then
  echo "run the build of deploy/system.toml and review/build.sh first"
  exit 2
fi
dir=$(mktemp -d) || exit 2
target/bed "$name" "$dir" "$folder/record.txt" &
bed=$!
loops=()

# keep PROCESS ROLE: runs a process until the case is over.
keep() {
  while ! [ -e "$dir/over" ]; do
    if ! [ -e "$dir/$1.gone" ]; then
      env "$cores" target/endivefall "$2" "$dir/$1.yaml" >>"$dir/$1.log" 2>&1 &
      echo $! >"$dir/$1.pid"
      wait $!
    fi
    sleep 0.3
  done
}

for _ in $(seq 100); do
  if [ -s "$dir/processes" ] || ! kill -0 "$bed" 2>/dev/null; then break; fi
  sleep 0.05
done
if [ -s "$dir/processes" ]; then
  while read -r process role; do
    keep "$process" "$role" 2>/dev/null &
    loops+=($!)
  done <"$dir/processes"
fi
trap 'kill -KILL "$bed" 2>/dev/null' INT TERM
wait "$bed"
code=$?
touch "$dir/over"
for loop in "${loops[@]}"; do
  while kill -0 "$loop" 2>/dev/null; do
    for file in "$dir"/*.pid; do
      if [ -s "$file" ]; then kill -KILL "$(cat "$file")" 2>/dev/null; fi
    done
    sleep 0.1
  done
done
if [ -n "${KEEP_LOGS:-}" ]; then echo "logs are in $dir"; else rm -rf "$dir"; fi
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
