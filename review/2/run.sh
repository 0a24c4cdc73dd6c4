#!/usr/bin/env bash
exec bash "$(dirname "$0")/../play.sh" outage "$(dirname "$0")"
