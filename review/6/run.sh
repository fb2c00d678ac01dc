#!/usr/bin/env bash
# Plays the case that claim.txt describes; see there. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/review/stand-2 && -x target/release/pistachioyard ]] || exit 2
exec target/review/stand-2 reset review/6
