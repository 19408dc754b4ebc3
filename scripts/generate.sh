#!/usr/bin/env bash
# Generates the committed code from service/peer/wire/peer.proto. It needs
# protoc; the generator for Go is a tool of this module.
set -eu
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
PATH="$bin:$PATH" protoc --go_out=. --go_opt=module=crocusseam service/peer/wire/peer.proto
