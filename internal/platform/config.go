package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// Config reads the configuration service. It is a fleet.ConfigReader.
type Config struct {
	Client Client
}

// watchResponse is the body of /v1/watch.
type watchResponse struct {
	Revision uint64          `json:"revision"`
	Changed  []changedRecord `json:"changed"`
}

type changedRecord struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

// Watch waits up to wait for values newer than after. It returns the revision of
// the service and the names and revisions of those values.
func (c *Config) Watch(ctx context.Context, after table.Revision, wait time.Duration) (table.Revision, []fleet.ValueRevision, error) {
	resp, err := c.Client.get(ctx, "/v1/watch", longPollQuery(uint64(after), wait), wait, http.StatusOK)
	if err != nil {
		return 0, nil, err
	}
	revision, changed, err := decodeWatch(resp)
	if err != nil {
		return 0, nil, result.Errorf(result.ConfigUnreached, "read watch: %w", err)
	}
	return revision, changed, nil
}

func decodeWatch(resp response) (table.Revision, []fleet.ValueRevision, error) {
	var w watchResponse
	if err := json.Unmarshal(resp.body, &w); err != nil {
		return 0, nil, err
	}
	revision, err := resp.join(w.Revision)
	if err != nil {
		return 0, nil, err
	}
	var changed []fleet.ValueRevision
	for _, r := range w.Changed {
		n, err := resp.join(r.Revision)
		if err != nil {
			return 0, nil, err
		}
		changed = append(changed, fleet.ValueRevision{Name: r.Name, Revision: table.Revision(n)})
	}
	return table.Revision(revision), changed, nil
}

// Get returns the value of a name. The error has the code result.NotFound if the
// name has no value.
func (c *Config) Get(ctx context.Context, name string) (fleet.Value, error) {
	resp, err := c.Client.get(ctx, "/v1/values/"+url.PathEscape(name), nil, 0, http.StatusOK)
	if err != nil {
		return fleet.Value{}, err
	}
	if !resp.endMarked {
		return fleet.Value{}, result.Errorf(result.ConfigUnreached, "read value %s: the response has neither a length nor chunks and may be cut", name)
	}
	n, err := resp.revision()
	if err != nil {
		return fleet.Value{}, result.Errorf(result.ConfigUnreached, "read value %s: %w", name, err)
	}
	return fleet.Value{Name: name, Revision: n, Data: resp.body}, nil
}

// revision returns the revision of a value in the era of the response.
func (r response) revision() (table.Revision, error) {
	number, err := parseUint("header Revision", r.header.Get("Revision"))
	if err != nil {
		return 0, err
	}
	n, err := r.join(number)
	return table.Revision(n), err
}
