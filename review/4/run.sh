#!/usr/bin/env bash
# A machine is killed and started again while hosts drain and the store is slow;
# 26 s.
# Needs the build of the deploy file and of review/build.sh. Exit code: 0 the
# rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves out the
# disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x review/build/standin ] || exit 2
[ -x target/src/dogwoodtrackd-carried/dogwoodtrackd-carried ] || exit 2
exec review/build/standin stale-start "${TROUBLE:-1}" review/4/record.txt
