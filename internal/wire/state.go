package wire

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"jasminewing.dev/jasminewing/pkg/result"
)

const (
	// statePartBytes is the maximum size of the parts in which a state is sent.
	// Small parts show the receiver the progress on a slow link.
	statePartBytes = 16 << 10
	// maxStateBytes is the maximum size of an encoded state, and of a decoded one.
	maxStateBytes = 16 << 20
	// maxStateEntries is the maximum number of entries of a state; catalog.MaxEntries bounds
	// those of a section. An entry may have 2 bytes, and takes many times that once decoded.
	maxStateEntries = 10_000
	// stateWindowBytes is the distance within which the encoder finds repetitions.
	// It must exceed the size of the dictionary and the state together.
	stateWindowBytes = 4 << 20
	// stateDictionary identifies the dictionary within a frame.
	stateDictionary = 1
)

// EncodeState compresses a state. If base is not empty, the result contains only
// the difference from it, and can only be decoded with the same base.
func EncodeState(state *PublishedState, base []byte) ([]byte, error) {
	data, err := proto.Marshal(state)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(stateWindowBytes), zstd.WithLowerEncoderMem(true),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(stateDictionary, base))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	return e.EncodeAll(data, nil), nil
}

// DecodeState decodes what EncodeState returned. A checksum in the data detects a
// base that differs.
func DecodeState(data, base []byte) (*PublishedState, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxStateBytes)}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(stateDictionary, base))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("decode state: %w", err)
	}
	defer d.Close()
	plain, err := d.DecodeAll(data, nil)
	if err != nil {
		return nil, result.Errorf(result.BadMessage, "decode state: %w", err)
	}
	if n := countEntries(plain); n > maxStateEntries {
		return nil, result.Errorf(result.BadMessage, "decode state: more than %d entries", maxStateEntries)
	}
	state := &PublishedState{}
	if err := proto.Unmarshal(plain, state); err != nil {
		return nil, result.Errorf(result.BadMessage, "decode state: %w", err)
	}
	return state, nil
}

// countEntries counts the entries of an encoded state, up to the first field that can't be read.
func countEntries(state []byte) int {
	entries := (&PublishedState{}).ProtoReflect().Descriptor().Fields().ByName("entries").Number()
	count := 0
	for len(state) > 0 {
		number, _, n := protowire.ConsumeField(state)
		if n < 0 {
			break
		}
		if number == entries {
			count++
		}
		state = state[n:]
	}
	return count
}

// FetchState requests a section of the published state from the gateway at address,
// and returns all its parts as one. It calls received with the number of bytes as
// they arrive.
func (d *Dialer) FetchState(ctx context.Context, address string, r *FetchRequest, received func(bytes int)) (*StatePart, error) {
	stream, err := NewDRPCGatewaysClient(d.To(address)).Fetch(ctx, r)
	if err != nil {
		return nil, fmt.Errorf("fetch state: %w", err)
	}
	defer func() { _ = stream.Close() }()
	whole := &StatePart{}
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return whole, nil
		}
		if err != nil {
			return nil, fmt.Errorf("fetch state: %w", err)
		}
		received(len(part.Data))
		whole.Data = append(whole.Data, part.Data...)
		whole.BaseDigest = part.BaseDigest
		if len(whole.Data) > maxStateBytes {
			return nil, result.Errorf(result.BadMessage, "fetch state: more than %d bytes", maxStateBytes)
		}
	}
}

// SendState sends an encoded state in parts.
func SendState(stream DRPCGateways_FetchStream, whole *StatePart) error {
	for data := whole.Data; len(data) > 0; {
		n := min(len(data), statePartBytes)
		if err := stream.Send(&StatePart{Data: data[:n], BaseDigest: whole.BaseDigest}); err != nil {
			return fmt.Errorf("send state: %w", err)
		}
		data = data[n:]
	}
	return nil
}
