package sidecar

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/booking"
	"jasminewing.dev/jasminewing/internal/engine"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/wire"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

var errWitnessDown = errors.New("witness is down")

// fakeWitnesses answers claims for all other sidecars.
type fakeWitnesses struct {
	// down fails every call, silent does not answer before the timeout.
	down, silent fleet.Address

	mu                         sync.Mutex
	claims, releases, outcomes int
}

func (f *fakeWitnesses) Claim(ctx context.Context, to fleet.Address, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	switch to {
	case f.down:
		return nil, errWitnessDown
	case f.silent:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case r.Release:
		f.releases++
	case r.Answer != nil:
		f.outcomes++
	default:
		f.claims++
	}
	return &wire.ClaimReply{UpMs: uint64((2 * time.Hour).Milliseconds())}, nil
}

func (f *fakeWitnesses) counts() [3]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return [3]int{f.claims, f.releases, f.outcomes}
}

// withKeys calls test with the Keys task of booking_1, which is the home of the
// offer's key. The key has two witnesses.
func withKeys(t *testing.T, f *fakeWitnesses, test func(t *testing.T, k *Keys, o *wire.Offer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		view := fleet.View{Ready: true, Table: &table.Table{
			Classes:   map[table.ClassName]table.Class{"pitch": {Name: "pitch", Kind: table.Plain, Service: "booking", KeyWindow: time.Hour}},
			Upstreams: make(map[table.UpstreamName]table.Upstream),
		}}
		for _, n := range []string{"booking_1", "booking_2", "booking_3"} {
			view.Table.Upstreams[table.UpstreamName(n)] = table.Upstream{
				Name: table.UpstreamName(n), Kind: table.Plain, Serves: []table.ServiceName{"booking"},
			}
			view.VMs.VMs = append(view.VMs.VMs, fleet.VM{
				Name: fleet.VMName(n), Role: fleet.Sidecar, Upstream: table.UpstreamName(n), Address: fleet.Address(n), State: fleet.Live,
			})
		}
		k := &Keys{
			Core:  booking.Core{Self: view.VMs.VMs[0], Incarnation: "i", MaxRecords: 10},
			Fleet: &staticFleet{view}, Peers: f, UpstreamName: "booking_1",
		}
		k.Init()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- k.Run(ctx) }()
		o := &wire.Offer{Account: "market", BodyHash: []byte("hash")}
		for _, text := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			if o.Key = text; k.Check(o) == nil {
				break
			}
		}
		assert.NilError(t, k.Check(o))
		test(t, k, o)
		cancel()
		assert.NilError(t, <-ended)
		_, err := k.Begin(t.Context(), o)
		assert.Equal(t, result.CodeOf(err), result.KeyOutcomeUnknown, "a stopped task must not let a request run")
	})
}

func TestKeyRunsOnce(t *testing.T) {
	f := &fakeWitnesses{}
	withKeys(t, f, func(t *testing.T, k *Keys, o *wire.Offer) {
		decision, err := k.Begin(t.Context(), o)
		assert.NilError(t, err)
		assert.Assert(t, decision.Answer == nil)
		assert.Equal(t, f.counts(), [3]int{2, 0, 0})
		_, err = k.Begin(t.Context(), o)
		assert.Equal(t, result.CodeOf(err), result.KeyInProgress)

		k.Finish(decision.Ref, engine.Outcome{Complete: true}, &wire.StoredAnswer{Complete: true, Body: []byte("booked")})
		again, err := k.Begin(t.Context(), o)
		assert.NilError(t, err)
		assert.Equal(t, string(again.Answer.GetBody()), "booked")
		synctest.Wait()
		assert.Equal(t, f.counts(), [3]int{2, 0, 2})
	})
}

// A request that the upstream did not run releases its key; any other outcome
// keeps the key.
func TestKeyAfterRunEnds(t *testing.T) {
	tests := []struct {
		name    string
		outcome engine.Outcome
		want    result.Code
		counts  [3]int
	}{
		{"not run", engine.Outcome{NotRun: true}, result.OK, [3]int{4, 2, 0}},
		{"cut off", engine.Outcome{Code: result.UpstreamCutOff}, result.KeyOutcomeUnknown, [3]int{2, 0, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeWitnesses{}
			withKeys(t, f, func(t *testing.T, k *Keys, o *wire.Offer) {
				decision, err := k.Begin(t.Context(), o)
				assert.NilError(t, err)
				k.Finish(decision.Ref, tt.outcome, &wire.StoredAnswer{})
				_, err = k.Begin(t.Context(), o)
				assert.Equal(t, result.CodeOf(err), tt.want)
				synctest.Wait()
				assert.Equal(t, f.counts(), tt.counts)
			})
		})
	}
}

// A request whose key cannot be recorded by a witness does not run, and its claim
// is released at every witness that recorded it.
func TestKeyWithoutWitness(t *testing.T) {
	for _, f := range []*fakeWitnesses{{down: "booking_2"}, {silent: "booking_3"}} {
		withKeys(t, f, func(t *testing.T, k *Keys, o *wire.Offer) {
			begin := time.Now()
			_, err := k.Begin(t.Context(), o)
			assert.Equal(t, result.CodeOf(err), result.WitnessUnreached)
			assert.Assert(t, time.Since(begin) <= claimTimeout)
			synctest.Wait()
			counts := f.counts()
			assert.Equal(t, counts[0], counts[1], "claims and releases")
		})
	}
}

// A gateway that withdraws while the witnesses are being asked releases the key, so
// the next request claims it as if it were new.
func TestKeyWithdrawn(t *testing.T) {
	f := &fakeWitnesses{silent: "booking_3"}
	withKeys(t, f, func(t *testing.T, k *Keys, o *wire.Offer) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(claimTimeout/2, cancel)
		_, err := k.Begin(ctx, o)
		assert.Equal(t, result.CodeOf(err), result.CallerGone)
		_, err = k.Begin(t.Context(), o)
		assert.Equal(t, result.CodeOf(err), result.WitnessUnreached, "the second request must claim the key anew and not find it in progress")
	})
}
