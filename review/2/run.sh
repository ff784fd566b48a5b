#!/bin/sh
# Case 2: see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it with an origin that is never slow. Takes about 50 s; ends the proxy that it starts.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/martenweir ] || exit 2
exec target/review/standin writes review/2
