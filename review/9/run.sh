#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
program=$root/target/review-2/review-2
if [ ! -x "$program" ] || [ ! -x "$root/target/release/weldworks-gateway" ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
# Ends the gateways that are left if the case was stopped, by the ids that it wrote down.
finish() {
    if [ -f "$temporary/pids" ]; then
        while read -r pid; do kill -9 "$pid" 2>/dev/null; done <"$temporary/pids"
    fi
    rm -rf "$temporary"
}
trap finish EXIT
trap 'kill "$player" 2>/dev/null; exit 2' INT TERM HUP
"$program" drain-polls "$root" "$here" "$temporary" &
player=$!
wait "$player"
code=$?
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
