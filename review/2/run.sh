#!/usr/bin/env bash
# A client sends 48 commands at once; half of them have long answers.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# Build first with the `build` command of the deploy file and review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
# With TROUBLE=0 the same 48 commands are sent 8 at a time.
export TROUBLE="${TROUBLE:-1}"
# What was sent, answered and run.
export RECORD="$folder/record.txt"
exec bash "$folder/../run-case.sh" many_commands_at_once
