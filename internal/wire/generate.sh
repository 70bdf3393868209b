#!/usr/bin/env bash
# Regenerates the committed *.pb.go files. Needs protoc (Debian: protobuf-compiler);
# the two protoc plugins are built from tools/go.mod.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd ../../tools && go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc)
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
	--go-drpc_out=. --go-drpc_opt=paths=source_relative wire.proto
