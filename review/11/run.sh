#!/bin/sh
# A gateway is stopped for three seconds (SIGSTOP, SIGCONT) while new weights are named.
# TROUBLE=0: the same, and it is not stopped. KEEP=1 keeps the settings and logs.
cd "$(dirname "$0")/../.."
exec target/review-3/stand frozen review/11
