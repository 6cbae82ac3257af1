#!/bin/sh
# The stand-ins are Python and need no compiling; this checks that they load, with the
# libraries that the build of the deploy file has put into target/deps.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 exec python3 -c "
import sys
sys.path.insert(0, 'review')
import harness
import primrosepier.platform.standins
for name in sys.argv[1:]:
    compile(open(name).read(), name, 'exec')
" review/*.py review/[1-5]/*.py
