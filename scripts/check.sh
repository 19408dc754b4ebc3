#!/usr/bin/env bash
# Checks format, linters, bare go statements, and that generated files are fresh.
set -eu
cd "$(dirname "$0")/.."
failed=0
say() { echo "check: $*"; failed=1; }

unformatted=$(go tool gofumpt -l cmd pkg service platform | grep -v '\.pb\.go$' || true)
[ -z "$unformatted" ] || say "not formatted: $unformatted"

go vet ./... || say "go vet found faults"
go tool staticcheck ./... || say "staticcheck found faults"
go tool revive -config scripts/revive.toml -set_exit_status ./pkg/... ./service/... ./cmd/... ./platform/... || say "revive found faults"

# Goroutines are started through a group only.
bare=$(grep -rnE '^\s*go (func|[a-zA-Z_.]+\()' --include='*.go' cmd pkg service platform || true)
[ -z "$bare" ] || say "bare go statements: $bare"

if command -v protoc >/dev/null; then
  kept=$(mktemp)
  cp service/peer/wire/peer.pb.go "$kept"
  ./scripts/generate.sh
  # The version line of the compiler may differ between machines.
  diff <(grep -v 'protoc ' "$kept") <(grep -v 'protoc ' service/peer/wire/peer.pb.go) >/dev/null || say "service/peer/wire/peer.pb.go is stale: run make generate"
  cp "$kept" service/peer/wire/peer.pb.go
  rm -f "$kept"
else
  echo "check: protoc is not installed; the generated protocol code was not compared"
fi
exit $failed
