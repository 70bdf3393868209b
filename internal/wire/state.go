package wire

import (
	"context"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"jasminewing.dev/jasminewing/pkg/result"
)

// statePartBytes is the maximum size of the parts in which a state is sent. Small
// parts show the receiver the progress on a slow link.
const statePartBytes = 16 << 10

// maxStateBytes is the maximum size of an encoded state.
const maxStateBytes = 16 << 20

// FetchState requests the published state from the gateway at address. It calls
// received with the number of bytes as they arrive.
func (d *Dialer) FetchState(ctx context.Context, address string, r *FetchRequest, received func(bytes int)) (*PublishedState, error) {
	stream, err := NewDRPCGatewaysClient(d.To(address)).Fetch(ctx, r)
	if err != nil {
		return nil, fmt.Errorf("fetch state: %w", err)
	}
	defer func() { _ = stream.Close() }()
	var data []byte
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("fetch state: %w", err)
		}
		received(len(part.Data))
		data = append(data, part.Data...)
		if len(data) > maxStateBytes {
			return nil, result.Errorf(result.BadMessage, "fetch state: more than %d bytes", maxStateBytes)
		}
	}
	state := &PublishedState{}
	if err := proto.Unmarshal(data, state); err != nil {
		return nil, fmt.Errorf("fetch state: %w", err)
	}
	return state, nil
}

// SendState sends a state in parts.
func SendState(stream DRPCGateways_FetchStream, state *PublishedState) error {
	data, err := proto.Marshal(state)
	if err != nil {
		return fmt.Errorf("send state: %w", err)
	}
	for len(data) > 0 {
		n := min(len(data), statePartBytes)
		if err := stream.Send(&StatePart{Data: data[:n]}); err != nil {
			return fmt.Errorf("send state: %w", err)
		}
		data = data[n:]
	}
	return nil
}
