// Command wiregen compiles a .proto file and runs protoc plugins on it, as protoc does. It
// needs no protoc on the machine.
//
// # Usage
//
//	wiregen wire.proto PLUGIN[=PARAMETERS]...
//
// Each plugin is the path of a program, with parameters separated by commas. The generated files are written beside the .proto
// file.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: wiregen FILE.proto PLUGIN[=PARAMETERS]...")
		os.Exit(2)
	}
	if err := generate(os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "wiregen:", err)
		os.Exit(1)
	}
}

func generate(file string, plugins []string) error {
	compiler := protocompile.Compiler{Resolver: &protocompile.SourceResolver{}, SourceInfoMode: protocompile.SourceInfoStandard}
	compiled, err := compiler.Compile(context.Background(), file)
	if err != nil {
		return fmt.Errorf("compile %s: %w", file, err)
	}
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{file},
		ProtoFile:      []*descriptorpb.FileDescriptorProto{protoutil.ProtoFromFileDescriptor(compiled[0])},
	}
	for _, p := range plugins {
		p, parameters, _ := strings.Cut(p, "=")
		request.Parameter = proto.String(strings.TrimSuffix("paths=source_relative,"+parameters, ","))
		if err := run(p, request); err != nil {
			return fmt.Errorf("run %s: %w", p, err)
		}
	}
	return nil
}

// run passes the request to a plugin and writes the files of its response.
func run(plugin string, request *pluginpb.CodeGeneratorRequest) error {
	in, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	c := exec.Command(plugin)
	c.Stdin, c.Stderr = bytes.NewReader(in), os.Stderr
	out, err := c.Output()
	if err != nil {
		return err
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(out, &response); err != nil {
		return err
	}
	if response.Error != nil {
		return fmt.Errorf("%s", response.GetError())
	}
	for _, f := range response.File {
		if err := os.WriteFile(f.GetName(), []byte(f.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
