#!/bin/sh
# Plays case 13; see claim.txt. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." && exec target/review-harness-3 poison-restarts review/13/record.txt
