package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"jasminewing.dev/jasminewing/internal/transfer"
	"jasminewing.dev/jasminewing/pkg/result"
)

// maxFetchBytes is the maximum number of bytes read from a response.
const maxFetchBytes = 16 << 20

// client bounds the heads of responses, as another program may listen at an address. Like
// http.DefaultClient it uses the proxies of the environment.
var client = newClient()

func newClient() *http.Client {
	t := transfer.NewTransport(nil)
	t.Proxy = http.ProxyFromEnvironment
	return &http.Client{Transport: t}
}

// fetchJSON sends a request to a process and decodes the JSON of its response.
func fetchJSON(r *http.Request, into any) error {
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxFetchBytes))
	if err != nil {
		return fmt.Errorf("read %s: %w", r.URL.Path, err)
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(resp.StatusCode, body)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("read %s: %w", r.URL.Path, err)
	}
	return nil
}

func responseError(status int, body []byte) error {
	var a result.Answer
	if json.Unmarshal(body, &a) == nil && a.Error.Code != 0 {
		return fmt.Errorf("%d %s: %s", a.Error.Code, a.Error.Type, a.Error.Message)
	}
	return fmt.Errorf("HTTP status %d; is this an admin listener?", status)
}
