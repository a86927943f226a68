#!/usr/bin/env bash
# A bad client sends hundreds of commands at once, each of another made-up customer.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# Build first with the `build` command of the deploy file and review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
# With TROUBLE=0 the bad client does not come.
export TROUBLE="${TROUBLE:-1}"
# What was sent, answered and run.
export RECORD="$folder/record.txt"
exec bash "$folder/../run-case.sh" many_customers
