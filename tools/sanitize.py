"""Mixed load and a few faults against daemons built with a sanitizer; fails on
any report. Usage: sanitize.py thread|address"""

import glob
import os
import random
import re
import subprocess
import sys

from deployment import BUILD, Deployment
from faults import Faults, merged_catalogue, run_schedule, start_load

SECONDS = 12
SCHEDULE = [(2.0, "servers_silent", 1.0), (3.0, "server_dead", 2.0), (4.0, "platform_down", 2.0),
            (5.0, "kill_active_scheduler", 1.0), (7.0, "server_leaving", 2.0), (8.0, "operators_race", 1.0)]


def main():
    kind = sys.argv[1]
    options = "exitcode=66 halt_on_error=0"
    if kind == "thread":
        os.environ["TSAN_OPTIONS"] = options + " suppressions=%s/tools/tsan.supp" % os.getcwd()
        code = subprocess.run([os.path.join(BUILD, "tests", "test_threads")]).returncode
        if code:
            print("test_threads: exit %d" % code)
            sys.exit(1)
    else:
        os.environ["ASAN_OPTIONS"] = options + " detect_leaks=0"
        os.environ["UBSAN_OPTIONS"] = "print_stacktrace=1"
    d = Deployment("run/sanitize-" + kind, servers=17, lease_ms=8000)
    faults = Faults(d, random.Random(1))
    faults.catalogue_dir = merged_catalogue(d.dir)
    try:
        d.start(faults.catalogue_dir)
        faults.accepted[1] = 0
        load = start_load(d, 1, SECONDS)
        run_schedule(faults, SCHEDULE, SECONDS)
        print(load.communicate(timeout=SECONDS + 120)[0], end="")
    finally:
        codes = d.stop()
    text = ""
    for path in glob.glob(os.path.join(d.dir, "stderr.log")):
        with open(path, errors="replace") as f:
            text += f.read()
    reports = re.findall(r"(WARNING: ThreadSanitizer|ERROR: AddressSanitizer|runtime error)[^\n]*", text)
    print("%s sanitizer: %d reports, exit codes %s" % (kind, len(reports), codes))
    if reports:
        print(text[:6000])
    sys.exit(1 if reports or any(codes) else 0)


if __name__ == "__main__":
    main()
