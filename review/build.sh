#!/bin/bash
# Builds the stand-ins that the cases start. Needs the JDK only; the classes go to target/review.
set -e
repository=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
mkdir -p "$repository/target/review"
javac -d "$repository/target/review" "$repository"/review/standins/*.java
