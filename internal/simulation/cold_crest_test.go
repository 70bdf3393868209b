package simulation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// coldCrest begins with empty caches, at the crest of the demand and with a burst of the long
// kind of request.
func coldCrest(kind string, factor float64) Load {
	return Load{
		Name: "cold crest", Factor: 1.3, Duration: 10 * time.Second,
		Bursts: []Burst{{kind, 500 * ms, 9 * time.Second, factor}},
	}
}

// On engines of uneven speed, equal shares of the prompt parts leave the fast ones idle while
// requests for the slow ones are refused. 0.70 of the credit is the target.
func TestColdCrestOnUnevenEngines(t *testing.T) {
	site := Donations("donations", 43, 23, 145, 84, 121)
	r := Run{Site: site, Load: coldCrest("case-review", 2.82), Seed: 1}.Play()
	assert.Assert(t, r.Worth >= 0.70, "%.3f of the credit", r.Worth)
	chats := r.kind(t, "counter-chat").Attained()
	assert.Assert(t, chats >= 0.95, "%.3f of the most urgent kind in time", chats)
}
