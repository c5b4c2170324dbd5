#!/bin/sh
# Exit 1: the rule was broken. 0: it held. 2: the case could not run. With TROUBLE=0 the new file is complete.
cd "$(dirname "$0")" || exit 2
if [ ! -x ../bin/stand ] || [ ! -x ../../bin/oxbowbridge ]; then
	echo "build first: the deploy file's build, then review/build.sh" >&2
	exit 2
fi
exec ../bin/stand reload-lacks-key ../.. .
