#!/usr/bin/env bash
# Checks the format, runs the linters, refuses bare go statements and compares the
# generated protocol code with its source.
set -eu
cd "$(dirname "$0")/.."
failed=0
say() { echo "check: $*"; failed=1; }

unformatted=$(go tool gofumpt -l cmd pkg service platform | grep -v '\.pb\.go$' || true)
[ -z "$unformatted" ] || say "not formatted: $unformatted"

go vet ./... || say "go vet found faults"
go tool staticcheck ./... || say "staticcheck found faults"
go tool revive -config scripts/revive.toml -set_exit_status ./pkg/... ./service/... ./cmd/... ./platform/... || say "revive found faults"

# Only an errgroup or a similar group may start goroutines.
bare=$(grep -rnE '^\s*go (func|[a-zA-Z_.]+\()' --include='*.go' cmd pkg service platform || true)
[ -z "$bare" ] || say "bare go statements: $bare"

if command -v protoc >/dev/null; then
  kept=$(mktemp)
  cp service/peer/wire/peer.pb.go "$kept"
  ./scripts/generate.sh
  # The line with protoc's version may differ between machines.
  diff <(grep -v 'protoc ' "$kept") <(grep -v 'protoc ' service/peer/wire/peer.pb.go) >/dev/null || say "service/peer/wire/peer.pb.go is stale: run make generate"
  cp "$kept" service/peer/wire/peer.pb.go
  rm -f "$kept"
else
  echo "check: protoc is not installed; the generated protocol code was not compared"
fi
exit $failed
