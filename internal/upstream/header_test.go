package upstream

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEndToEndHeaders(t *testing.T) {
	got := EndToEndHeaders(http.Header{
		"Connection": {"close, X-Mine"}, "X-Mine": {"1"}, "Keep-Alive": {"timeout=5"}, "Transfer-Encoding": {"chunked"},
		"Proxy-Authorization": {"Basic x"}, "Http2-Settings": {"x"}, "X-Other": {"stays", "whole"},
	})
	assert.DeepEqual(t, got, http.Header{"X-Other": {"stays", "whole"}})
	assert.DeepEqual(t, EndToEndHeaders(nil), http.Header{})
}
