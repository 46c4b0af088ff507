#!/usr/bin/env bash
# The scripts of review/11 to review/15 start stand-ins that need no compiler: stand_in_3.py and the
# project's own in tools/. This checks that they can be read.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
python3 - review/stand_in_3.py review/1[1-5]/*.py tools/site_http.py tools/site_servers.py tools/site_store.py <<'PY'
import ast, os, sys
for path in sys.argv[1:]:
    if os.path.exists(path):
        ast.parse(open(path).read(), path)
PY
