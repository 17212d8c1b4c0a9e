#!/usr/bin/env bash
# runs the points of docs/CAPACITY.md one after the other: points.sh FOLDER OF THE PROGRAMS, FOLDER FOR THE ROWS
set -uo pipefail
programs=$1
rows=$2
mkdir -p "$rows"
work=$(mktemp -d -p /dev/shm) # on one disk seven replicas would wait for each other's syncs
point() {
  local file=$1 nodes=${2%:*} databases=${2#*:}
  shift 2
  timeout 300 "$programs/scale" --nodes "$nodes" --databases "$databases" --title "$nodes:$databases" --window 8000 \
    --folder "$work/run" --output "$rows/$file.csv" "$@" > "$work/log" 2>&1 || echo "$file $nodes:$databases did not reach all: $(grep fault "$work/log")"
}
for each in 20:47 40:94 80:94 160:188 320:329 420:470; do point pieces $each --part pieces; done
for each in 20:47 40:94 80:94 160:188 200:235 240:282 320:329 420:470; do point points $each --light true --patience 60000; done
for each in 20:12 40:12 80:12 160:12 320:12 420:12 20:47 20:94 20:188 80:47; do point slices $each --events false --patience 30000; done
point settled 320:329 --light true --patience 60000 --settle 60000
point settled 420:470 --light true --patience 60000 --settle 90000
for each in 70:94 70:188 70:470; do point zone $each --events false --patience 60000 --settle 30000 --zones 1 --regions 1 --real 11 --each 8; done
point counts 20:470 --part counts
point counts_zone 70:470 --part counts --zones 1 --regions 1
point losses 12:6 --part losses
point clients 2:3 --part clients --replicas 3 --real 2
rm -rf "$work"
