#!/usr/bin/env bash
# Generates service/peer/wire/peer.pb.go from peer.proto. protoc must be installed;
# its plugin for Go is built from this module's dependencies.
set -eu
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
PATH="$bin:$PATH" protoc --go_out=. --go_opt=module=crocusseam service/peer/wire/peer.proto
