#!/usr/bin/env bash
# A complete client: caller.sh ENTRY[,ENTRY...] WORKSPACE SERVICE PROFILE < body
set -u
IFS=, read -ra entries <<<"$1"
work=$(mktemp -d); trap 'rm -rf "$work"' EXIT; cat >"$work/body"
due=$(date -u -d '+30 seconds' +%Y-%m-%dT%H:%M:%SZ)
while :; do
  for entry in "${entries[@]}"; do # the first entry VM that answers
    curl -sf -m 2 -o "$work/addr" "http://$entry/v1/address?profile=$4" && break
  done
  ticket=$(sed -nE 's/.*"ticket": "([^"]+)".*/\1/p' "$work/addr")
  addresses=$(sed -E 's/.*\[([^]]*)\].*/\1/; s/[",]//g' "$work/addr")
  id="$ticket/$(cat /proc/sys/kernel/random/uuid)"
  outcome=unknown
  for address in $addresses $addresses $addresses; do # retries keep the id
    curl -s -m 30 -D "$work/head" -o "$work/answer" --data-binary @"$work/body" \
      -H "Bramleybend-Request-Id: $id" -H "Bramleybend-Workspace: $2" \
      -H "Bramleybend-Service: $3" -H "Bramleybend-Profile: $4" \
      -H "Bramleybend-Deadline: $due" "http://$address/v1/requests" || continue
    outcome=$(tr -d '\r' <"$work/head" | sed -nE 's/^Bramleybend-Outcome: //Ip')
    break
  done
  [ "$outcome" = not_run ] && [ "$(date -u +%FT%TZ)" \< "$due" ] || break
  sleep "$(tr -d '\r' <"$work/head" | sed -nE 's/^Retry-After: //Ip')"
done # not run: retry with a new ticket and id after Retry-After
echo "$outcome"
cat "$work/answer"
