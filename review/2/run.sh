#!/bin/sh
# Plays case 2 and judges it: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
if ! [ -x "$root/bin/snowquay" ] || ! [ -x "$root/bin/review-standin" ]; then
	echo "run the build of the deploy file and review/build.sh first" >&2
	exit 2
fi
timeout -k 5 110 "$root/bin/review-standin" reset "$root" "$root/review/2"
result=$?
case $result in
0 | 1) exit $result ;;
*) exit 2 ;;
esac
