# shellcheck shell=bash
# Sourced by the test scripts, with `build` set: runs parts of a test run and collects their results for
# `scripts/judge-tests judge "$results"`.
build="${build:?is set by the script that sources this}"
said="$build/said.txt"
results="$build/results.jsonl"
: > "$results"

# part KIND NAME COMMAND...: runs a part, shows what it printed but for figures, collects its results.
part() {
  local kind="$1" name="$2" code
  shift 2
  "$@" > "$said" 2> "$said.errors"
  code=$?
  if [ "$kind" = runs ]; then grep -vE '^\S+ seed [0-9]+:' "$said"; else cat "$said"; fi
  cat "$said.errors"
  scripts/judge-tests collect "$results" "$kind" "$name" "$said" "$code"
}
