#!/bin/sh
exec sh "$(dirname "$0")/../common/run_case.sh" "$(dirname "$0")"
