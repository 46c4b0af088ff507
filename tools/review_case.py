"""Runs a case of review/ against the programs of BUILD: `tools/review_case.py N`. Ends with the
status of its run.sh: 0 the rule held, 1 it was broken, 2 the case could not run.

A case writes its record beside itself and starts target/currantlane-sited, so it runs in a copy
of review/ where target/ is BUILD."""

import os
import shutil
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
COULD_NOT_RUN = 2


def main():
    if len(sys.argv) != 2 or not os.path.exists(os.path.join(ROOT, "review", sys.argv[1], "run.sh")):
        print("usage: tools/review_case.py N, where review/N/run.sh exists")
        sys.exit(COULD_NOT_RUN)
    with tempfile.TemporaryDirectory(prefix="currantlane-review-case-") as copy:
        shutil.copytree(os.path.join(ROOT, "review"), os.path.join(copy, "review"))
        os.symlink(os.path.join(ROOT, os.environ.get("BUILD", "build")), os.path.join(copy, "target"))
        for name in ("tools", "deploy"):
            os.symlink(os.path.join(ROOT, name), os.path.join(copy, name))
        code = subprocess.run(["bash", os.path.join("review", sys.argv[1], "run.sh")], cwd=copy).returncode
    if code == COULD_NOT_RUN:
        print("review/%s could not run" % sys.argv[1])
    sys.exit(code)


if __name__ == "__main__":
    main()
