#!/usr/bin/env bash
# The platform's doorman links nothing of the fleet, nor what only other programs need: lean_test.sh PROGRAM
set -euo pipefail
if nm -C "$1" | grep -E 'anisewick::(membership|agreement|ownership|gate|orders|member|talk|peers|store|part|wire|work|evidence|zones)::'; then
  echo "$1 has parts of the fleet" >&2
  exit 1
fi
if ldd "$1" | grep -E 'protobuf|libcrypto|libssl|spdlog|absl'; then
  echo "$1 links what only other programs need" >&2
  exit 1
fi
nm -C "$1" | grep 'anisewick::service::Service::run' > /dev/null
