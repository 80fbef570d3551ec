#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
repository=$(cd "$here/../.." && pwd)
[ -f "$repository/target/review-2/TinyTasks.class" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec java -Xmx1g -Dsun.net.httpserver.nodelay=true -cp "$repository/target/review-2" TinyTasks "$repository" "$here/record.txt"
