#!/usr/bin/env bash
# Runs the case with the daemons of the deploy file on loopback addresses.
# Exit code: 1 rule broken, 0 held, 2 could not run. TROUBLE=0: without the
# disruption. Needs the deploy file's build and review/build-3.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
daemon=target/src/dogwoodtrackd-carried/dogwoodtrackd-carried
standin=target/review-3/standin
[[ -x $daemon && -x $standin ]] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -s KILL 110 "$standin" reset-after-kill "$daemon" "$folder" "$here/record.txt"
outcome=$?
[[ $outcome -le 1 ]] || exit 2
exit "$outcome"
