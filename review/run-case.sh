#!/bin/sh
# Runs a case of the stand-ins: run-case.sh NAME FOLDER. Exits with 1 if the rule was broken, 0 if
# it held, and 2 if the case could not run.
name=$1
case_folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.." || exit 2
root=$PWD
standins=$root/review/standins/target/release/review-standins
for program in "$standins" target/release/platform-entry target/release/platform-control; do
    if [ ! -x "$program" ]; then
        echo "missing: run the deploy file's build and review/build.sh first"
        exit 2
    fi
done
folder=$(mktemp -d) || exit 2

# Ends whatever the stand-ins have not ended themselves; only processes of this run's folder.
clean_up() {
    if [ -n "$running" ]; then
        # `timeout` hands the signal on to the stand-ins.
        kill -TERM "$running" 2>/dev/null
        wait "$running" 2>/dev/null
    fi
    if [ -f "$folder/pids" ]; then
        while read -r pid; do
            if tr '\0' ' ' 2>/dev/null < "/proc/$pid/cmdline" | grep -qF "$folder"; then
                kill -9 "$pid" 2>/dev/null
            fi
        done < "$folder/pids"
    fi
    rm -rf "$folder"
}
trap 'clean_up; exit 2' INT TERM HUP

timeout 118 "$standins" "$name" "$root" "$folder" "$case_folder/record.txt" &
running=$!
wait "$running"
status=$?
running=
clean_up
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
