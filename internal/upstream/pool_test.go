package upstream

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Connections that have been idle for too long must be closed also in a pool that is not used,
// and each must be counted as closed once. Otherwise they use up the descriptors.
func TestExpiredConnectionsAreClosed(t *testing.T) {
	address, _ := serve(t, []string{okResponse})
	open := 0
	p := &Pool{Address: address, OnConnect: func() { open++ }, OnClose: func() { open-- }}
	mustExchange(t, p)
	assert.Equal(t, open, 1)
	now := time.Now()
	p.CloseExpired(now)
	assert.Equal(t, len(p.idle), 1)
	p.CloseExpired(now.Add(defaultIdleTimeout))
	assert.Equal(t, len(p.idle), 0)
	assert.Equal(t, open, 0)
	p.Close()
	assert.Equal(t, open, 0)
}
