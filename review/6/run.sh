#!/bin/bash
# Plays the case once: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 plays the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
python3 -B case.py "$@" &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' TERM INT HUP
while true; do
    wait "$child"
    code=$?
    kill -0 "$child" 2>/dev/null || break
done
case $code in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
