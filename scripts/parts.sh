# shellcheck shell=bash
# Sourced by the test scripts, with `build` set. Runs the parts of a test run and collects their
# results for `scripts/judge-tests judge "$results"`.
build="${build:?must be set by the sourcing script}"
output="$build/part_output.txt"
results="$build/results.jsonl"
: > "$results"

# run_part KIND NAME COMMAND...: runs a part, prints its output without the lines of figures, and
# collects its results.
run_part() {
  local kind="$1" name="$2" code
  shift 2
  "$@" > "$output" 2> "$output.errors"
  code=$?
  if [ "$kind" = runs ]; then grep -vE '^\S+ seed [0-9]+:' "$output"; else cat "$output"; fi
  cat "$output.errors"
  scripts/judge-tests collect "$results" "$kind" "$name" "$output" "$code"
}
