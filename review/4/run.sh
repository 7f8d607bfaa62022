#!/bin/bash
# Plays the case once: exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruption out. Run the deploy file's build and
# review/build.sh first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/yuccapaddled ] && [ -x target/review-stand ] || exit 2
exec target/review-stand rename review/4
