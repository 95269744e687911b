#!/bin/sh
# Builds what the cases 6 to 10 start, beside the deploy file's build. Needs g++ and nothing else.
cd "$(dirname "$0")/.." || exit 2
mkdir -p build/review-2 || exit 2
for source in review/stand-2/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-2/$(basename "$source" .cpp)" "$source" || exit 2
done
