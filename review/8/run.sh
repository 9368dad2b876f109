#!/usr/bin/env bash
# Asks for the cancellation of a job that nobody has submitted, unless TROUBLE=0.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/stand-2 cancelled review/8/record.txt
