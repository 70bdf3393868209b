package gateway

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

const (
	// classHeader lets a caller name the class of its request.
	classHeader = "Jasminewing-Class"
	keyHeader   = "Idempotency-Key"
	// maxKeyBytes is the most bytes of an idempotency key.
	maxKeyBytes = 255
	// bodyTimeout bounds how long a caller may take to send its body.
	bodyTimeout = 30 * time.Second
	// unreadTimeout bounds how long the rest of a refused body is waited for, so
	// that a caller still sending sees the refusal rather than a reset.
	unreadTimeout = time.Second
)

// call is a caller's request that was understood.
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
	arrived  time.Time
	// revision is the table's when the call was understood.
	revision table.Revision
}

// completionRequest is what the gateway reads of a body of the OpenAI shape.
type completionRequest struct {
	Model     *string `json:"model"`
	Stream    bool    `json:"stream"`
	MaxTokens *int    `json:"max_tokens"`
}

// parseCall reads and checks a request; the error carries a code.
func (g *Gateway) parseCall(w http.ResponseWriter, r *http.Request, id dispatch.RequestID) (*call, error) {
	c := &call{id: id, method: r.Method, path: r.URL.RequestURI(), header: r.Header, arrived: time.Now()}
	v := g.Fleet.View()
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
		return table.Account{}, result.Errorf(result.BadKey, "the key belongs to no client account")
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

// requestedClass gives the class that a caller names, empty for none.
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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.MaxBody))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, result.Errorf(result.BodyTooLarge, "at most %d bytes", large.Limit)
	case err != nil:
		return nil, result.Errorf(result.BadBody, "read body: %w", err)
	}
	// From here on a read only waits for the caller to hang up.
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
	c.streamed = b.Stream
	if b.MaxTokens != nil && *b.MaxTokens > 0 {
		c.class.MaxTokens = min(c.class.MaxTokens, table.Tokens(*b.MaxTokens))
	}
	return nil
}

// service gives what an upstream must serve to run the call.
func (c *call) service() table.ServiceName {
	if c.class.Kind == table.Plain {
		return c.class.Service
	}
	return c.model
}

// keyed holds where an idempotency key decides whether the request runs.
func (c *call) keyed() bool { return c.key != "" && !c.class.Idempotent }

// offer gives the message that is the same for every attempt but for number
// and times.
func (c *call) offer(gateway string) *wire.Offer {
	return &wire.Offer{
		RequestId:     string(c.id),
		Account:       string(c.account.Name),
		Class:         string(c.class.Name),
		Tier:          uint32(c.class.Tier),
		CostTokens:    uint32(c.class.MaxTokens),
		TableRevision: uint64(c.revision),
		Fingerprint:   []byte(suspect.FingerprintOf(c.account.Name, c.bodyHash[:])),
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

// forwardedHeaders gives the caller's headers that an upstream may see. Hop-by-hop
// headers are the sidecar's client's to strip.
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
