#!/usr/bin/env bash
# Runs the driver of a case: run-case.sh DRIVER. Its caller, the run.sh of the case, sets RECORD and TROUBLE. The driver
# starts the gateways with the `run` command of the deploy file, plays the other parties, writes the record, and ends the
# gateways.
set -u
: "${RECORD:?}" "${TROUBLE:?}"
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
driver="$root/review/standins/target/release/$1"
cd "$root" || exit 2
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)".*$/\1/p' deploy/balancer.toml)
[ -n "$RUN_COMMAND" ] || { echo "no run command in the deploy file" >&2; exit 2; }
[ -x "$driver" ] || { echo "not built: review/build.sh" >&2; exit 2; }
[ -x target/release/marlshelf-gateway ] || { echo "not built: the build of the deploy file" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
export RECORD TROUBLE RUN_COMMAND TMPDIR="$folder"
"$driver" &
pid=$!
trap 'kill -TERM "$pid" 2>/dev/null' TERM INT HUP
# The driver ends the gateways itself. If it was killed, their ids are still in its file.
end_all() {
  if [ -f "$folder/processes" ]; then
    while read -r process; do
      case "$(tr '\0' ' ' 2>/dev/null <"/proc/$process/cmdline")" in
        *marlshelf-gateway*) kill -KILL "$process" 2>/dev/null ;;
      esac
    done <"$folder/processes"
  fi
  rm -rf "$folder"
}
trap end_all EXIT
wait "$pid"
status=$?
case $status in 0 | 1 | 2) exit "$status" ;; *) exit 2 ;; esac
