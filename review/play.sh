#!/usr/bin/env bash
# play.sh CASE FOLDER: plays a case with the commands of the deploy file. The stand-in "bed"
# writes the settings from the templates of the deploy file; this script starts the processes,
# each on one core as DEPLOY.md has it, and starts them again after they end. Exit codes: 1 if
# the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
name=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
if ! [ -x target/endivefall ] || ! [ -x target/bed ]; then
  echo "run the build of deploy/system.toml and review/build.sh first"
  exit 2
fi
pin() { # where there is no taskset
  shift
  export GOMAXPROCS=1
  exec "$@"
}
if command -v taskset >/dev/null; then
  pin() { exec taskset -c "$@"; }
fi
dir=$(mktemp -d) || exit 2
target/bed "$name" "$dir" "$folder/record.txt" &
bed=$!
loops=()

# keep PROCESS ROLE CORE: runs a process until the case is over.
keep() {
  while ! [ -e "$dir/over" ]; do
    if ! [ -e "$dir/$1.gone" ]; then
      (pin "$3" target/endivefall "$2" "$dir/$1.yaml") >>"$dir/$1.log" 2>&1 &
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
core=0
cores=$(nproc)
if [ -s "$dir/processes" ]; then
  while read -r process role; do
    keep "$process" "$role" $((core % cores)) 2>/dev/null &
    loops+=($!)
    core=$((core + 1))
  done <"$dir/processes"
fi
trap 'kill -KILL "$bed" 2>/dev/null' INT TERM
wait "$bed"
code=$?
touch "$dir/over"
for file in "$dir"/*.pid; do
  if [ -s "$file" ]; then kill -KILL "$(cat "$file")" 2>/dev/null; fi
done
wait "${loops[@]}" 2>/dev/null
if [ -n "${KEEP_LOGS:-}" ]; then echo "logs are in $dir"; else rm -rf "$dir"; fi
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
