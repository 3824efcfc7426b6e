#!/bin/sh
# Checks that the stand-ins and scripts of the cases from 11 on compile. They
# use the standard library only, so there is nothing else to build.
cd "$(dirname "$0")" || exit 1
python3 - <<'END'
import ast
from pathlib import Path

for path in sorted([*Path("common-3").glob("*.py"), *Path(".").glob("1[1-5]/*.py")]):
    ast.parse(path.read_text(), str(path))
    print(f"{path}: compiles")
END
