#!/bin/sh
# Runs the case: with TROUBLE=0 without its disruptions, with TROUBLE=poison without the kills. Exits with
# 1 if the rule was broken, 0 if it held, 2 if the case could not run. Writes record.txt beside this file.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/review/stand" ] && [ -x "$root/target/release/jujubebeam" ] || exit 2
folder=$(mktemp -d) || exit 2
"$root/target/review/stand" restarts "$root" "$folder" "$here/record.txt"
result=$?
rm -rf "$folder"
[ $result -le 2 ] || result=2
exit $result
