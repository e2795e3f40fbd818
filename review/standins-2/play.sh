#!/usr/bin/env bash
# Plays a trial: play.sh CASE FOLDER. The record goes to FOLDER/record.txt. It
# exits with 1 if the rule was broken, 0 if it held and 2 if the trial could
# not be played; TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
trial=target/review-2/release/review-trial
daemon=target/release/goldcrestramp-entry
for program in "$trial" "$daemon"; do
    [ -x "$program" ] || { echo "could not run: $program is missing"; exit 2; }
done
scratch=$(mktemp -d) || exit 2
export TROUBLE="${TROUBLE:-1}"
clean_up() {
    # Processes that a trial which was cut short has left.
    for pid in $(cat "$scratch/pids" 2>/dev/null); do
        if grep -qs goldcrestramp-entry "/proc/$pid/cmdline"; then
            kill -9 "$pid" 2>/dev/null
        fi
    done
    rm -rf "$scratch"
}
trap clean_up EXIT
timeout -k 5 110 "$trial" "$1" "$folder/record.txt" "$scratch"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
