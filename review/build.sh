#!/bin/sh
# The cases' stand-ins are in Python, of the standard library alone: nothing is compiled, all of it is checked here. Run
# after the build of deploy/balancer.toml; no network is needed.
cd "$(dirname "$0")" || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))' || { echo "python3 (3.8 or later) is needed" >&2; exit 2; }
for file in stand/stand.py */case.py; do
  python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 2
done
echo "the stand-ins are in order"
