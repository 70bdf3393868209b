// Package codec encodes and decodes the messages between the processes of a fleet. The
// generated code of package wire uses it.
//
// The size of a message bounds its text only. An empty part of a repeated field has 2 bytes
// there and takes many times that once decoded, so the parts are counted before.
//
// # Usage
//
//	data, err := codec.Marshal(m)
//	err = codec.Unmarshal(data, m)
package codec

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"storj.io/drpc"

	"jasminewing.dev/jasminewing/pkg/result"
)

// maxParts is the maximum number of parts of a message. A message without faults has at most
// 512 suspicions and four numbers for each upstream.
const maxParts = 1 << 17

// Marshal encodes a message.
func Marshal(m drpc.Message) ([]byte, error) { return proto.Marshal(m.(proto.Message)) }

// MarshalAppend appends the encoding of a message to a buffer.
func MarshalAppend(buf []byte, m drpc.Message) ([]byte, error) {
	return proto.MarshalOptions{}.MarshalAppend(buf, m.(proto.Message))
}

// Unmarshal decodes a message. A message of more than maxParts parts is refused with
// result.BadMessage.
func Unmarshal(data []byte, m drpc.Message) error {
	message := m.(proto.Message)
	// A part has at least one byte.
	if len(data) > maxParts && parts(data, message.ProtoReflect().Descriptor()) > maxParts {
		return result.Errorf(result.BadMessage, "message of over %d parts", maxParts)
	}
	return proto.Unmarshal(data, message)
}

// parts counts the messages, texts and numbers in an encoded message, until there are too many and
// up to the first field that can't be read. Numbers of a fixed size are not counted, as they take no more memory decoded.
func parts(data []byte, d protoreflect.MessageDescriptor) int {
	count := 0
	for len(data) > 0 && count <= maxParts {
		number, wireType, n := protowire.ConsumeTag(data)
		if n < 0 {
			return count
		}
		data = data[n:]
		if n = protowire.ConsumeFieldValue(number, wireType, data); n < 0 {
			return count
		}
		count++
		if f := d.Fields().ByNumber(number); f != nil && wireType == protowire.BytesType {
			value, _ := protowire.ConsumeBytes(data)
			count += partsOf(value, f)
		}
		data = data[n:]
	}
	return count
}

// partsOf counts the parts within a field that has a length.
func partsOf(value []byte, f protoreflect.FieldDescriptor) int {
	switch f.Kind() {
	case protoreflect.MessageKind, protoreflect.GroupKind:
		return parts(value, f.Message())
	case protoreflect.StringKind, protoreflect.BytesKind,
		protoreflect.Fixed32Kind, protoreflect.Sfixed32Kind, protoreflect.FloatKind,
		protoreflect.Fixed64Kind, protoreflect.Sfixed64Kind, protoreflect.DoubleKind:
		return 0
	default:
		count := 0
		for _, b := range value {
			if b < 0x80 {
				count++
			}
		}
		return count
	}
}
