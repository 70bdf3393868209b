package sidecar

import (
	"context"
	"errors"
	"slices"
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

// errUpstreamSilent is why an attempt is given up whose upstream no longer answers.
var errUpstreamSilent = errors.New("upstream is silent and answers no question for its health")

// monitorHealth asks the upstream for its health and tells the core of changes.
func (s *Sidecar) monitorHealth(ctx context.Context) error {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	failures := 0
	for {
		h, err := s.checkHealth(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			failures++
		} else {
			failures = 0
		}
		if err == nil || failures >= maxHealthFailures {
			s.updateHealth(h, err)
		}
		if failures >= maxHealthFailures {
			s.running.cancelSilent(time.Now())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (s *Sidecar) checkHealth(ctx context.Context) (engine.Health, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	return s.Upstream.Health(ctx)
}

func (s *Sidecar) updateHealth(h engine.Health, err error) {
	s.healthMu.Lock()
	was, wasUp := s.health, s.up
	up := err == nil && h.Up && !h.Draining
	restarted := err == nil && was.Instance != "" && h.Instance != was.Instance
	// What it has just loaded is as cold as a restart.
	reloaded := err == nil && was != (engine.Health{}) && h.TellsLoaded && h.Loaded != was.Loaded
	s.up = up
	if err == nil {
		s.health = h
	}
	downAt := s.downAt
	if wasUp && !up {
		s.downAt = time.Now()
	}
	s.healthMu.Unlock()

	s.Orders.healthChecked(h, err)
	if up == wasUp && !restarted && !reloaded {
		return
	}
	s.admitter.notifyCore(admission.HealthChanged{Up: up, Restarted: restarted || reloaded})
	if restarted {
		s.recordDeath(was.Instance, s.running.offers())
	}
	if up != wasUp || restarted {
		s.logHealth(up, downAt, err)
	}
}

// checkHealthAfterOrder asks the upstream for its health at once, so that work meets
// what it has just loaded as cold.
func (s *Sidecar) checkHealthAfterOrder(ctx context.Context) {
	if h, err := s.checkHealth(ctx); err == nil {
		s.updateHealth(h, nil)
	}
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

// handleOutcome learns from how a run ended, and names the death of the upstream
// if that is how.
func (s *Sidecar) handleOutcome(a *attempt, outcome engine.Outcome) (death fleet.Incarnation) {
	switch {
	case outcome.Died:
		return s.confirmDeath(a.instance, s.running.offers())
	case outcome.Complete && a.suspected:
		s.Suspects.Clean(time.Now(), a.offer)
	}
	return ""
}

// confirmDeath asks a lost upstream for its health: one that merely cut a
// connection is still the same instance. A slot is held meanwhile, so that the
// next request does not meet an upstream that has just come back cold.
func (s *Sidecar) confirmDeath(instance string, inFlight []*wire.Offer) fleet.Incarnation {
	ctx, cancel := context.WithTimeout(context.Background(), deathCheckTimeout)
	defer cancel()
	h, err := s.Upstream.Health(ctx)
	if err == nil && h.Instance == instance {
		return ""
	}
	s.updateHealth(h, err)
	s.recordDeath(instance, inFlight)
	return s.deathOf(instance)
}

// recordDeath makes all that was in flight suspect. It may be told of the same
// death by each request that saw it: the instance names the death.
func (s *Sidecar) recordDeath(instance string, inFlight []*wire.Offer) {
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

// checkSuspicion says whether a request is suspected. A suspect has one place in
// the fleet where it may run, and one more for while the first is down. With an
// idempotency key its place is the key's home.
func (s *Sidecar) checkSuspicion(o *wire.Offer, c table.Class) (suspected bool, err error) {
	suspected, err = s.Suspects.Judge(time.Now(), o)
	if err != nil || !suspected {
		return suspected, err
	}
	service := table.ServiceName(o.Model)
	if c.Kind == table.Plain {
		service = c.Service
	}
	if keyed(o, c) {
		return true, nil
	}
	for i, place := range s.places(o, c, service) {
		if place.Name == s.VM {
			return true, nil
		}
		if i == 0 {
			err = result.Errorf(result.SuspectBusy, "VM %q is the place for it", place.Name)
		}
	}
	return true, err
}

// places gives the places of a suspect, the first one first.
func (s *Sidecar) places(o *wire.Offer, c table.Class, service table.ServiceName) []fleet.VM {
	vms := s.Fleet.View().Serving(c.Kind, service)
	var places []fleet.VM
	for range maxSuspectVMs {
		place, ok := s.Suspects.Place(o, vms)
		if !ok {
			break
		}
		places = append(places, place)
		vms = slices.DeleteFunc(slices.Clone(vms), func(vm fleet.VM) bool { return vm.Name == place.Name })
	}
	return places
}

// runningAttempts holds the attempts that the upstream runs.
type runningAttempts struct {
	mu       sync.Mutex
	attempts map[*attempt]bool
}

func (f *runningAttempts) add(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.attempts == nil {
		f.attempts = make(map[*attempt]bool)
	}
	f.attempts[a] = true
}

func (f *runningAttempts) remove(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.attempts, a)
}

// offers gives what is in flight.
func (f *runningAttempts) offers() []*wire.Offer {
	f.mu.Lock()
	defer f.mu.Unlock()
	offers := make([]*wire.Offer, 0, len(f.attempts))
	for a := range f.attempts {
		offers = append(offers, a.offer)
	}
	return offers
}

// cancelSilent ends what an upstream that gives no sign of life has left
// unanswered, so that gateways have it elsewhere. What must not repeat waits
// for its deadline: nobody else may run it.
func (f *runningAttempts) cancelSilent(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a := range f.attempts {
		if a.class.Idempotent && now.Sub(a.lastDataAt()) > silenceTimeout {
			a.cancel(errUpstreamSilent)
		}
	}
}
