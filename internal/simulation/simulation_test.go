package simulation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// smallSites returns the two deployments with 12 engines and 6 gateways, at about half
// of the load that they can serve.
func smallSites() (laudjalopp, pitchline Site) {
	return Laudjalopp("laudjalopp", 12, 6, 15.9, 21.8, 18.7), Pitchline("pitchline", 12, 6, 17, 6.1, 13)
}

func steady(factor float64) Load { return Load{Factor: factor, Duration: 12 * time.Second} }

// flood multiplies the rate of one kind of request by four.
func flood(kind string) Load {
	return Load{Factor: 1, Duration: 15 * time.Second, Bursts: []Burst{{kind, 2 * time.Second, 12 * time.Second, 4}}}
}

func (r Report) kind(t *testing.T, name string) KindReport {
	t.Helper()
	for _, k := range r.Kinds {
		if k.Name == name {
			return k
		}
	}
	t.Fatalf("no kind %q", name)
	return KindReport{}
}

// A run depends on its seed alone, so that policies can be compared.
func TestSeedFixesRun(t *testing.T) {
	site, _ := smallSites()
	load := Load{Factor: 1, Duration: 4 * time.Second, Crashes: []Crash{{2 * time.Second, time.Second, 0.25}}}
	assert.DeepEqual(t, Run{Site: site, Load: load, Seed: 3}.Play(), Run{Site: site, Load: load, Seed: 3}.Play())
}

// Below capacity nearly all requests are served in time.
func TestUsualLoadIsServed(t *testing.T) {
	laudjalopp, pitchline := smallSites()
	for _, site := range []Site{laudjalopp, pitchline} {
		r := Run{Site: site, Load: steady(0.5), Seed: 1}.Play()
		assert.Assert(t, r.Worth > 0.9, "%s: %.3f of the credit", site.Name, r.Worth)
		for _, k := range r.Kinds {
			assert.Assert(t, k.Served() > 0.95, "%s: %.3f of %s", site.Name, k.Served(), k.Name)
		}
	}
}

// Beyond capacity the goodput must stay at 0.9 of the goodput at capacity or more.
// Engines that admit all requests generate tokens so slowly that most requests pass
// their deadlines.
func TestGoodputBeyondCapacity(t *testing.T) {
	laudjalopp, pitchline := smallSites()
	for _, site := range []Site{laudjalopp, pitchline} {
		usual := Run{Site: site, Load: steady(1), Seed: 1}.Play().Goodput
		for _, factor := range []float64{2, 3.5} {
			got := Run{Site: site, Load: steady(factor), Seed: 1}.Play().Goodput
			assert.Assert(t, got >= 0.9*usual, "%s at %.1f times the load: %.0f, %.0f at the usual load", site.Name, factor, got, usual)
		}
	}
}

// testMostUrgent plays a flood of drafts and checks that the most urgent kind is in
// time, 95 % being the target.
func testMostUrgent(t *testing.T, site Site, drafts, urgent string) {
	t.Helper()
	r := Run{Site: site, Load: flood(drafts), Seed: 1}.Play()
	got := r.kind(t, urgent).Attained()
	assert.Assert(t, got >= 0.95, "%.3f of %s in time", got, urgent)
}

func TestQuestionsDuringFloodOfLayouts(t *testing.T) {
	_, site := smallSites()
	testMostUrgent(t, site, "season-layout", "booth-ask")
}

func TestChatsDuringFloodOfDigests(t *testing.T) {
	site, _ := smallSites()
	testMostUrgent(t, site, "yard-digest", "recipient-chat")
}

// A flood of questions must not starve drafts: they are served at least a quarter as
// often as all requests.
func TestDraftsDuringFloodOfQuestions(t *testing.T) {
	laudjalopp, pitchline := smallSites()
	for _, tt := range []struct {
		site              Site
		questions, drafts string
	}{
		{laudjalopp, "recipient-chat", "yard-digest"},
		{pitchline, "booth-ask", "season-layout"},
	} {
		r := Run{Site: tt.site, Load: flood(tt.questions), Seed: 1}.Play()
		asked, served := 0, 0
		for _, k := range r.Kinds {
			asked, served = asked+k.Asked, served+k.InTime+k.Late
		}
		got, all := r.kind(t, tt.drafts).Served(), float64(served)/float64(asked)
		assert.Assert(t, got >= all/4, "%s: %.3f of the drafts, %.3f of all", tt.site.Name, got, all)
	}
}

// Large requests are served at least half as often as their kind, also when capacity
// is short.
func TestLargeRequestsAreServed(t *testing.T) {
	laudjalopp, pitchline := smallSites()
	for _, site := range []Site{laudjalopp, pitchline} {
		r := Run{Site: site, Load: steady(2), Seed: 1}.Play()
		for _, k := range r.Kinds {
			large := float64(k.LargeServed) / float64(max(k.Large, 1))
			assert.Assert(t, large >= k.Served()/2, "%s: %.3f of the large %s, %.3f of all", site.Name, large, k.Name, k.Served())
		}
	}
}
