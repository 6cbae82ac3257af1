#!/bin/sh
# Prepares what the scripts of review/6 to review/10 start beside the routers. The
# stand-ins are Python, the project's own store too, and need the libraries in
# target/deps alone; here they are compiled, so that an import that fails shows.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -c "import primrosepier.asgi, primrosepier.platform.standins" || exit 1
for file in review/setup_2.py review/[6-9]/run.py review/10/run.py; do
    [ ! -e "$file" ] || python3 -m py_compile "$file" || exit 1
done
