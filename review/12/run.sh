#!/bin/sh
# Plays case 12; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." && exec target/review-harness-3 poison-caller review/12/record.txt
