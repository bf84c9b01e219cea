#!/usr/bin/env bash
exec bash "$(dirname "$0")/../common/run.sh" "$(dirname "$0")"
