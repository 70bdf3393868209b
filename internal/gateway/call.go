package gateway

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// classHeader is the request header in which a caller names the class of
	// its request.
	classHeader = "Jasminewing-Class"
	keyHeader   = "Idempotency-Key"
	// maxKeyBytes is the maximum length of an idempotency key in bytes.
	maxKeyBytes = 255
	// bodyTimeout is the maximum time that a caller may take to send its body.
	bodyTimeout = 30 * time.Second
	// unreadTimeout is how long the server keeps reading the rest of a refused
	// body, so that a caller that is still sending receives the refusal rather
	// than a connection reset.
	unreadTimeout = time.Second
)

// call is a caller's request after parsing and validation.
type call struct {
	id       dispatch.RequestID
	account  table.Account
	class    table.Class
	model    table.ServiceName
	streamed bool
	key      string
	method   string
	path     string
	header   http.Header
	body     []byte
	bodyHash [sha256.Size]byte
	// traits are what the request may have in common with others (suspect.Trait).
	traits  []uint64
	arrived time.Time
	// revision is the revision of the table with which the call was parsed.
	revision table.Revision
}

// completionRequest holds the fields that the gateway reads from the body of an
// OpenAI-style request.
type completionRequest struct {
	Model     *string `json:"model"`
	Stream    bool    `json:"stream"`
	MaxTokens *int    `json:"max_tokens"`
	// Messages are the parts of the prompt. A body whose messages are no list is the
	// upstream's to refuse.
	Messages json.RawMessage `json:"messages"`
}

// maxTraits is the maximum number of messages by which requests are compared.
const maxTraits = 64

// traits returns what the request may have in common with others that crashes upstreams:
// its messages, but for the last, which is its own.
func (b *completionRequest) traits() []uint64 {
	var messages []json.RawMessage
	if json.Unmarshal(b.Messages, &messages) != nil || len(messages) < 2 {
		return nil
	}
	var out []uint64
	for _, m := range messages[:min(len(messages)-1, maxTraits)] {
		out = append(out, xxhash.Sum64(m))
	}
	return out
}

// parseCall reads and validates a request. The error carries a result code.
func (g *Gateway) parseCall(w http.ResponseWriter, r *http.Request, id dispatch.RequestID, v *fleet.View) (*call, error) {
	c := &call{id: id, method: r.Method, path: r.URL.RequestURI(), header: r.Header, arrived: time.Now()}
	if !v.Ready || v.Table == nil {
		return nil, result.Errorf(result.NotReady, "no table yet")
	}
	c.revision = v.Table.Revision
	var err error
	if c.account, err = authenticate(v.Table, r.Header); err != nil {
		return nil, err
	}
	if c.key, err = idempotencyKey(r.Header); err != nil {
		return nil, err
	}
	if c.body, err = g.readBody(w, r); err != nil {
		return nil, err
	}
	c.bodyHash = sha256.Sum256(c.body)
	if err := c.classify(v.Table, r); err != nil {
		return nil, err
	}
	return c, nil
}

var errUnknownKey = result.Errorf(result.BadKey, "the key belongs to no client account")

func authenticate(t *table.Table, h http.Header) (table.Account, error) {
	values := h.Values("Authorization")
	if len(values) != 1 {
		return table.Account{}, result.Errorf(result.BadKey, "%d Authorization headers, one is expected", len(values))
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return table.Account{}, result.Errorf(result.BadKey, "a bearer key is expected")
	}
	a, ok := t.AccountByKey(table.HashKey(key))
	if !ok {
		return table.Account{}, errUnknownKey
	}
	return a, nil
}

func idempotencyKey(h http.Header) (string, error) {
	values := h.Values(keyHeader)
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", result.Errorf(result.BadIdempotencyKey, "%d keys, one is expected", len(values))
	}
	k := values[0]
	if k == "" || len(k) > maxKeyBytes {
		return "", result.Errorf(result.BadIdempotencyKey, "%d bytes, 1 to %d are expected", len(k), maxKeyBytes)
	}
	for _, b := range []byte(k) {
		if b < 0x20 || b > 0x7e {
			return "", result.Errorf(result.BadIdempotencyKey, "a key holds printable ASCII only")
		}
	}
	return k, nil
}

// requestedClass returns the class that the caller names in the class header,
// or an empty name if the header is missing.
func requestedClass(h http.Header) (table.ClassName, error) {
	values := h.Values(classHeader)
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return table.ClassName(values[0]), nil
	default:
		return "", result.Errorf(result.BadHeader, "%d headers %s, one is expected", len(values), classHeader)
	}
}

func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	stop := context.AfterFunc(g.ending, func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) })
	defer stop()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.MaxBody))
	var large *http.MaxBytesError
	switch {
	case err != nil && g.ending.Err() != nil:
		return nil, result.Errorf(result.Stopping, "the body was not complete")
	case errors.As(err, &large):
		return nil, result.Errorf(result.BodyTooLarge, "at most %d bytes", large.Limit)
	case err != nil:
		return nil, result.Errorf(result.BadBody, "read body: %w", err)
	}
	// The read deadline is cleared because further reads only detect that the
	// caller has closed the connection.
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

func (c *call) classify(t *table.Table, r *http.Request) error {
	if name, ok := mux.Vars(r)["class"]; ok {
		return c.classifyService(t, table.ClassName(name))
	}
	return c.classifyCompletion(t, r)
}

func (c *call) classifyService(t *table.Table, name table.ClassName) error {
	class, err := t.ClassFor(c.account, table.Plain, name)
	if err != nil {
		return err
	}
	c.class = class
	c.path, err = servicePath(c.path, name)
	return err
}

func (c *call) classifyCompletion(t *table.Table, r *http.Request) error {
	var b completionRequest
	d := json.NewDecoder(bytes.NewReader(c.body))
	if err := d.Decode(&b); err != nil {
		return result.Errorf(result.BadJSON, "body: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return result.Errorf(result.BadJSON, "body holds more than one JSON value")
	}
	if b.Model == nil || *b.Model == "" {
		return result.Errorf(result.BadJSON, "body names no model")
	}
	c.model = table.ServiceName(*b.Model)
	if len(t.UpstreamsServing(table.Engine, c.model)) == 0 {
		return result.Errorf(result.UnknownModel, "model %q", c.model)
	}
	explicit, err := requestedClass(r.Header)
	if err != nil {
		return err
	}
	class, err := t.ClassFor(c.account, table.Engine, explicit)
	if err != nil {
		return err
	}
	c.class = class
	c.traits = b.traits()
	c.streamed = b.Stream
	if b.MaxTokens != nil && *b.MaxTokens > 0 {
		c.class.MaxTokens = min(c.class.MaxTokens, table.Tokens(*b.MaxTokens))
	}
	return nil
}

// service returns the name of the service that an upstream must offer to run
// the call.
func (c *call) service() table.ServiceName {
	if c.class.Kind == table.Plain {
		return c.class.Service
	}
	return c.model
}

// keyed reports whether an idempotency key decides if the request may run: the
// caller sent a key and the class is not idempotent.
func (c *call) keyed() bool { return c.key != "" && !c.class.Idempotent }

// offer returns the offer message, which is the same for every attempt except
// for the attempt number and the times.
func (c *call) offer(gateway string) *wire.Offer {
	return &wire.Offer{
		RequestId:     string(c.id),
		Account:       string(c.account.Name),
		Class:         string(c.class.Name),
		Tier:          uint32(c.class.Tier),
		CostTokens:    uint32(c.class.MaxTokens),
		TableRevision: uint64(c.revision),
		Fingerprint:   []byte(suspect.FingerprintOf(c.account.Name, c.bodyHash[:])),
		Traits:        c.traits,
		Key:           c.key,
		BodyHash:      c.bodyHash[:],
		Idempotent:    c.class.Idempotent,
		Method:        c.method,
		Path:          c.path,
		Headers:       forwardedHeaders(c.header),
		BodyBytes:     uint64(len(c.body)),
		Streamed:      c.streamed,
		Gateway:       gateway,
		Model:         string(c.model),
	}
}

// forwardedHeaders returns the caller's headers that an upstream may receive.
// The HTTP client of the sidecar removes the hop-by-hop headers.
func forwardedHeaders(h http.Header) []*wire.Header {
	var headers []*wire.Header
	for name, values := range h {
		switch name {
		case "Authorization", "Cookie", "Content-Length", "Host", classHeader:
			continue
		}
		for _, v := range values {
			headers = append(headers, &wire.Header{Name: name, Value: v})
		}
	}
	return headers
}
