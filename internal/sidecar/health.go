package sidecar

import (
	"context"
	"sync"
	"time"

	"jasminewing.dev/jasminewing/internal/admission"
	"jasminewing.dev/jasminewing/internal/engine"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// followHealth asks the upstream for its health and tells the core of changes.
func (s *Sidecar) followHealth(ctx context.Context) error {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	misses := 0
	for {
		h, err := s.askHealth(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			misses++
		} else {
			misses = 0
		}
		if err == nil || misses >= healthMisses {
			s.noteHealth(h, err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *Sidecar) askHealth(ctx context.Context) (engine.Health, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	return s.Upstream.Health(ctx)
}

func (s *Sidecar) noteHealth(h engine.Health, err error) {
	s.healthMu.Lock()
	was, wasUp := s.health, s.up
	up := err == nil && h.Up && !h.Draining
	restarted := err == nil && was.Instance != "" && h.Instance != was.Instance
	s.up = up
	if err == nil {
		s.health = h
	}
	downAt := s.downAt
	if wasUp && !up {
		s.downAt = time.Now()
	}
	s.healthMu.Unlock()

	if up == wasUp && !restarted {
		return
	}
	s.admitter.tellCore(admission.HealthChanged{Up: up, Restarted: restarted})
	if restarted {
		s.noteDeath(was.Instance, s.flights.all())
	}
	s.logHealth(up, downAt, err)
}

func (s *Sidecar) logHealth(up bool, downAt time.Time, err error) {
	if up && downAt.IsZero() {
		return
	}
	if up {
		s.Log.WriteThrottled(event.UpstreamBack, string(s.UpstreamName), "down_since", downAt.Format(time.RFC3339))
		return
	}
	s.Log.WriteThrottled(event.UpstreamDown, string(s.UpstreamName),
		"since", time.Now().Format(time.RFC3339), "error", err, "fleet", "sends it no work, others take over")
}

func (s *Sidecar) instance() string {
	s.healthMu.Lock()
	defer s.healthMu.Unlock()
	return s.health.Instance
}

// noteOutcome learns from how a run ended.
func (s *Sidecar) noteOutcome(o *wire.Offer, outcome engine.Outcome, suspected bool) {
	switch {
	case outcome.Died:
		instance, inFlight := s.instance(), s.flights.all()
		s.attempts.Go(func() { s.confirmDeath(instance, inFlight) })
	case outcome.Complete && suspected:
		s.Suspects.Clean(time.Now(), o)
	}
}

// confirmDeath asks a lost upstream for its health: one that merely cut a
// connection is still the same instance.
func (s *Sidecar) confirmDeath(instance string, inFlight []*wire.Offer) {
	h, err := s.askHealth(context.Background())
	if err == nil && h.Instance == instance {
		return
	}
	s.noteDeath(instance, inFlight)
}

// noteDeath makes all that was in flight suspect. It may be told of the same
// death by each request that saw it: the instance names the death.
func (s *Sidecar) noteDeath(instance string, inFlight []*wire.Offer) {
	if len(inFlight) == 0 {
		return
	}
	s.Log.WriteThrottled(event.RequestSuspect, string(s.UpstreamName), "in_flight", len(inFlight))
	s.Suspects.Died(time.Now(), s.deathOf(instance), inFlight)
}

// deathOf names the death of an instance of the upstream.
func (s *Sidecar) deathOf(instance string) fleet.Incarnation {
	return fleet.Incarnation(string(s.UpstreamName) + "/" + instance)
}

// suspicion says whether a request is suspected. A suspect has one place in
// the fleet where it may run.
func (s *Sidecar) suspicion(o *wire.Offer, c table.Class) (suspected bool, err error) {
	suspected, err = s.Suspects.Judge(time.Now(), o)
	if err != nil || !suspected {
		return suspected, err
	}
	service := table.ServiceName(o.Model)
	if c.Kind == table.Plain {
		service = c.Service
	}
	place, ok := s.Suspects.Place(o, s.Fleet.View().Serving(c.Kind, service))
	if ok && place.Name != s.VM {
		return true, result.Errorf(result.SuspectBusy, "VM %q is the place for it", place.Name)
	}
	return true, nil
}

// flights holds the requests that the upstream runs.
type flights struct {
	mu     sync.Mutex
	offers map[*wire.Offer]bool
}

func (f *flights) begin(o *wire.Offer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.offers == nil {
		f.offers = make(map[*wire.Offer]bool)
	}
	f.offers[o] = true
}

func (f *flights) end(o *wire.Offer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.offers, o)
}

// all gives what is in flight.
func (f *flights) all() []*wire.Offer {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]*wire.Offer, 0, len(f.offers))
	for o := range f.offers {
		all = append(all, o)
	}
	return all
}
