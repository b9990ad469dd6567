#!/usr/bin/env bash
# Writes settings for COUNT daemons on loopback into FOLDER: write_settings.sh FOLDER COUNT PORT
# The ports for peers start at PORT+1, for clients at PORT+11, for operators at PORT+21. The first
# daemons store the journal: five of five or more, three of three or four, otherwise one.
set -euo pipefail
folder=$1
count=$2
base=$3

mkdir -p "$folder"
head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$folder/peer.key"
head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$folder/token"
chmod 600 "$folder/peer.key" "$folder/token"

voters=1
if [ "$count" -ge 3 ]; then voters=3; fi
if [ "$count" -ge 5 ]; then voters=5; fi

list=""
for vm in $(seq "$voters"); do
    list="$list${list:+, }{\"vm\": \"vm-$vm\", \"ip\": \"127.0.0.1\", \"port\": $((base + vm))}"
done
for vm in $(seq "$count"); do
    state=""
    if [ "$vm" -le "$voters" ]; then
        state="\"state\": {\"folder\": \"$folder/data-$vm\"},"
    fi
    cat >"$folder/vm-$vm.json" <<END
{
  "vm": "vm-$vm",
  "availability_zone": "zone-$((vm % 3))",
  "peers": {
    "listen": {"ip": "127.0.0.1", "port": $((base + vm))},
    "key_file": "$folder/peer.key",
    "voters": [$list]
  },
  $state
  "entry": {"listen": {"ip": "127.0.0.1", "port": $((base + 10 + vm))}},
  "operators": {
    "listen": {"ip": "127.0.0.1", "port": $((base + 20 + vm))},
    "token_file": "$folder/token"
  }
}
END
done
