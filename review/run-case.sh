#!/bin/sh
# run-case.sh NAME RECORD: runs the stand-ins and the judge of a case, which add to the file RECORD, and ends whatever it
# started.
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/.." || exit 2
name=$1 record=$2
judge=target/review/release/$name
program=target/release/basaltward
for file in "$judge" "$program"; do
    [ -x "$file" ] && continue
    echo "$file is missing: build the deploy file, then review/build.sh" | tee -a "$record" >&2
    exit 2
done
work=$(mktemp -d) || exit 2
child=
finish() {
    [ -z "$child" ] || kill "$child" 2>/dev/null
    # What the judge started and could not end itself.
    while read -r pid; do
        if tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline" | grep -q "$work"; then
            kill -KILL "$pid" 2>/dev/null
        fi
    done 2>/dev/null <"$work/pids"
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
: >"$work/pids"
TMPDIR=$work REVIEW_PIDS=$work/pids timeout 118 "$judge" "$record" "$program" &
child=$!
wait "$child"
code=$?
child=
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
