#!/usr/bin/env bash
exec bash "$(dirname "$0")/../play.sh" loop "$(dirname "$0")"
