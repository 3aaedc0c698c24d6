#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/Review.class ] || exit 2
exec java -cp target/laburnumarch-0.1.0-all.jar:target/review \
  Review more-ends-than-listed review/4 "${TROUBLE:-1}"
