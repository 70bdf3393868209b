package sidecar

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"jasminewing.dev/jasminewing/internal/admission"
	"jasminewing.dev/jasminewing/internal/engine"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// monitorHealth polls the upstream's health and reports changes to the core.
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
		if silent := failures >= maxHealthFailures; s.upstreamSilent.Swap(silent) != silent {
			s.reports.notify()
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
	// An upstream that has just loaded something is as cold as after a restart.
	reloaded := err == nil && was != (engine.Health{}) && h.ReportsLoad && h.Loaded != was.Loaded
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

// checkHealthAfterOrder polls the upstream's health immediately, so that the
// upstream counts as cold for the first requests after a load.
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
		"since", time.Now().Format(time.RFC3339), "error", err, "fleet", "sends no work to this upstream; other upstreams take over")
}

func (s *Sidecar) instance() string {
	s.healthMu.Lock()
	defer s.healthMu.Unlock()
	return s.health.Instance
}

// handleOutcome updates the suspects from the outcome of a run. If the upstream
// crashed, it returns the identifier of the death.
func (s *Sidecar) handleOutcome(a *attempt, outcome engine.Outcome) (death fleet.Incarnation) {
	switch {
	case outcome.Died:
		return s.confirmDeath(a.instance, s.running.offers())
	case outcome.Complete && outcome.Status < http.StatusMultipleChoices:
		s.Suspects.Completed(time.Now(), a.offer)
	}
	return ""
}

// confirmDeath checks the health of an upstream that lost a request. An upstream
// that only closed the connection still reports the same instance. The attempt
// keeps its slot during the check, so that the next request does not reach an
// upstream that has just restarted and does not count as cold yet.
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

// recordDeath marks all requests that were in flight as suspect. Each request that
// failed in the same death may call it, because the instance identifies the death.
func (s *Sidecar) recordDeath(instance string, inFlight []*wire.Offer) {
	if len(inFlight) == 0 {
		return
	}
	s.Log.WriteThrottled(event.RequestSuspect, string(s.UpstreamName), "in_flight", len(inFlight))
	s.Suspects.Died(time.Now(), s.deathOf(instance), inFlight)
}

// deathOf returns the identifier of the death of an instance of the upstream.
func (s *Sidecar) deathOf(instance string) fleet.Incarnation {
	return fleet.Incarnation(string(s.UpstreamName) + "/" + instance)
}

// checkSuspicion reports whether a request is suspected of crashing upstreams, and
// returns an error if it may not run here. A suspect request may run on one VM of
// the fleet, and on a second VM while the first is down. A request with an
// idempotency key runs at the key's home.
func (s *Sidecar) checkSuspicion(o *wire.Offer, c table.Class) (suspected bool, err error) {
	v, err := s.Suspects.Check(time.Now(), o)
	if err != nil || !v.Apart() {
		return v.Apart(), err
	}
	if len(o.Tried) == 0 {
		o.Tried = suspect.Numbers(v.Tried)
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

// places returns the VMs that may run a suspect request, in order of preference.
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

// runningAttempts is the set of attempts that the upstream is running.
type runningAttempts struct {
	mu       sync.Mutex
	attempts map[*attempt]bool
}

func (r *runningAttempts) add(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts == nil {
		r.attempts = make(map[*attempt]bool)
	}
	r.attempts[a] = true
}

func (r *runningAttempts) remove(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.attempts, a)
}

// offers returns the offers of all running attempts.
func (r *runningAttempts) offers() []*wire.Offer {
	r.mu.Lock()
	defer r.mu.Unlock()
	offers := make([]*wire.Offer, 0, len(r.attempts))
	for a := range r.attempts {
		offers = append(offers, a.offer)
	}
	return offers
}
