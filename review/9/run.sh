#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-2/weights ] || [ ! -x target/release/teaseldrum ]; then
    echo "not built: run the build of the deploy file and review/build-2.sh"
    exit 2
fi
folder=$(mktemp -d) || exit 2
target/review-2/weights "$folder" review/9/record.txt
result=$?
rm -rf "$folder"
case $result in
    0 | 1) exit $result ;;
    *) exit 2 ;;
esac
