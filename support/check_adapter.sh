#!/usr/bin/env bash
# Fails if a name of the users' platform is used outside the adapter.
set -euo pipefail
cd "$(dirname "$0")/.."
names='run-start|run-stop|heartbeat_addr|Instances\.|Config\.Replace|Config\.Fetch|ack_cursor'
names+='|checkpoint_id|deadline_ms":|X-Crocusmill|/advise|wave-start|machine-upkeep|slack_factor'
names+='|depends_on|anti_affinity|saves_progress|estimate_ms|mem_mb|slo_ms|long_running'
if grep -rnE "$names" src include --include='*.h' --include='*.cpp'; then
    echo "names of the platform may only be used in platform/" >&2
    exit 1
fi
