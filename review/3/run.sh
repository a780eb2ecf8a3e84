#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
timeout -k 5 112 java -cp "$root/target/review" TenantNames "$root" "$here/record.txt"
status=$?
case $status in 0 | 1 | 2) exit $status ;; *) exit 2 ;; esac
