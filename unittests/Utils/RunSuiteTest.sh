#!/usr/bin/env bash
# Guards against test programs that do not end: Criterion waits for ever for a child that it inherits and that has ended.
# Usage: RunSuiteTest.sh RUN_SUITE
set -euo pipefail
run_suite=$(realpath "${1:?usage: RunSuiteTest.sh RUN_SUITE}")
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
cd "$directory"

# Goes on after its output is complete.
cat >sed <<END
#!/usr/bin/env bash
$(command -v sed) "\$@"
exec >&-
sleep 0.5
END
cat >program <<'END'
#!/usr/bin/env bash
for status in /proc/[0-9]*/status; do
  while read -r key value; do
    if [ "$key" = PPid: ] && [ "$value" = $$ ]; then
      echo "the program inherits the process of $status"
      exit 1
    fi
  done <"$status"
done 2>/dev/null
END
chmod +x sed program

PATH="$directory:$PATH" "$run_suite" Unlisted ./program
