#!/bin/sh
# Prepares what the scripts of the cases 6 to 10 start besides the program of the deploy file: the stand-ins are Python
# and need only its standard library, so this checks that they can be loaded.
cd "$(dirname "$0")/.." || exit 2
test -x target/currantlane-sited || { echo "target/currantlane-sited is missing: run the build of deploy/system.toml"; exit 2; }
exec python3 -B -c "import sys; sys.path[:0] = ['review', 'tools']; import stand_in_2, site_store, site_servers, site_http"
