#!/usr/bin/env bash
# Installs the missing Debian packages of packages.txt. Needs root if a package is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done < packages.txt
[ ${#missing[@]} -eq 0 ] && exit 0
echo "Installing: ${missing[*]}"
apt-get update -q >/dev/null
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}" >/dev/null
