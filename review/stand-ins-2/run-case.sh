#!/bin/sh
# Plays a case: run-case.sh FOLDER NAME. Exits with the code of the case: 1 broken, 0 held, 2 could not run.
folder=$1
name=$2
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
cd "$root" || exit 2
program=target/review-2/cases
[ -x "$program" ] && [ -x target/release/marlshelf-gateway ] || { echo "not built: see review/build-2.sh" >&2; exit 2; }
CASE_WORK=$(mktemp -d) || exit 2
export CASE_WORK
clean() {
  # Ends the gateways that the case started, should it have been stopped itself.
  if [ -f "$CASE_WORK/pids" ]; then
    while read -r pid; do
      if grep -q "$CASE_WORK" "/proc/$pid/environ" 2>/dev/null; then kill -9 "$pid" 2>/dev/null; fi
    done < "$CASE_WORK/pids"
  fi
  rm -rf "$CASE_WORK"
}
trap clean EXIT
trap '[ -z "$started" ] || kill "$started" 2>/dev/null; exit 2' INT TERM HUP
started=
timeout -k 2 115 "$program" "$name" "$folder/record.txt" &
started=$!
wait "$started"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
