#!/usr/bin/env bash
# Regenerates the committed *.pb.go files, with the programs of tools/go.mod.
set -euo pipefail
cd "$(dirname "$0")"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd ../../tools && go build -o "$bin/" ./wiregen google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc)
"$bin/wiregen" wire.proto "$bin/protoc-gen-go" "$bin/protoc-gen-go-drpc=json=false,protolib=jasminewing.dev/jasminewing/internal/wire/codec"
