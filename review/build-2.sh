#!/bin/sh
# Builds the stand-ins that the scripts of the second review's cases start. Its one case is a day for the bench: there is nothing to build.
set -eu
