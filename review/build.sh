#!/usr/bin/env bash
# Builds the stand-ins of the cases. They and those of tools/ are Python programs: only their syntax is checked.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
python3 - tools/site_http.py tools/site_store.py tools/site_servers.py tools/soak.py review/stand_in.py review/*/case.py <<'PY'
import sys
import tomllib  # noqa: F401  Python 3.11, that of Debian 12
for path in sys.argv[1:]:
    with open(path) as f:
        compile(f.read(), path, "exec")
PY
