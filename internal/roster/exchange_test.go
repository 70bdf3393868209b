package roster

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"jasminewing.dev/jasminewing/internal/catalog"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/internal/placement"
	"jasminewing.dev/jasminewing/internal/route"
	"jasminewing.dev/jasminewing/internal/suspect"
	"jasminewing.dev/jasminewing/internal/wire"
)

// desk has requests in flight at a number of upstreams.
type desk int

func (desk) Tell(placement.Message) {}

func (d desk) Loads() map[placement.LoadKey]placement.Load {
	loads := make(map[placement.LoadKey]placement.Load)
	for n := range d {
		key := placement.LoadKeyOf(route.UpstreamID(fmt.Sprint(n)))
		loads[key] = placement.Load{InFlight: 2, WaitingTokens: 9_000, MemoryTokens: 30_000}
	}
	return loads
}

// emptyCatalog knows nothing.
type emptyCatalog struct{}

func (emptyCatalog) ObserveRevision(context.Context, string, catalog.Revision) {}
func (emptyCatalog) StoreUnreachable() bool                                    { return false }
func (emptyCatalog) Revision() catalog.Revision                                { return 0 }
func (emptyCatalog) SetRelaxed(bool)                                           {}
func (emptyCatalog) State(catalog.Revision) *wire.PublishedState               { return nil }

func newGateway(n int, incarnation fleet.Incarnation) *Task {
	return &Task{
		Self: fmt.Sprintf("10.0.0.%d:1", n), Incarnation: incarnation,
		Desk: desk(0), Catalog: emptyCatalog{}, Suspects: &suspect.Book{},
	}
}

// exchange lets one gateway call another, as over the wire; it gives the bytes
// of question and answer.
func exchange(t *testing.T, from, to *Task) int {
	t.Helper()
	request := from.state(time.Now(), to.Self)
	reply, err := to.Tell(t.Context(), request)
	assert.NilError(t, err)
	from.receive(t.Context(), reply)
	return proto.Size(request) + proto.Size(reply)
}

func suspicionCount(g *Task) int { return len(g.Suspects.Share(time.Now())) }

// What upstreams ended under is told once to each gateway, and all of it to one
// that started anew; an exchange after that is as small as before.
func TestSuspicionsAreSentOnce(t *testing.T) {
	one, other := newGateway(1, "a"), newGateway(2, "b")
	one.init()
	one.addPeer(other.Self)
	exchange(t, one, other)
	quiet := exchange(t, one, other)
	const deaths = 300
	for n := range deaths {
		one.Suspects.Died(time.Now(), "e1/1", []*wire.Offer{{Fingerprint: fmt.Appendf(nil, "%08d", n)}})
	}
	exchange(t, one, other)
	assert.Equal(t, suspicionCount(other), deaths)
	exchange(t, one, other)
	after := exchange(t, one, other)
	assert.Assert(t, after < 2*quiet, "%d bytes, %d before", after, quiet)

	again := newGateway(2, "c")
	exchange(t, one, again)
	exchange(t, again, one)
	assert.Equal(t, suspicionCount(again), deaths)
	exchange(t, one, again)
	assert.Equal(t, len(one.state(time.Now(), again.Self).Suspicions), 0)
}

// An answer that is lost is told again.
func TestLostReplyIsResent(t *testing.T) {
	one, other := newGateway(1, "a"), newGateway(2, "b")
	one.init()
	one.addPeer(other.Self)
	exchange(t, one, other)
	other.Suspects.Died(time.Now(), "e1/1", []*wire.Offer{{Fingerprint: []byte("killer")}})
	_, err := other.Tell(t.Context(), one.state(time.Now(), other.Self))
	assert.NilError(t, err)
	assert.Equal(t, suspicionCount(one), 0)
	exchange(t, one, other)
	assert.Equal(t, suspicionCount(one), 1)
}

// At the size designed for, exchanges stay within the bytes that a node may spend
// for control in a second, in and out. 2,300 requests a second of some 4 s each
// are 27 in flight at each of 350 gateways.
func TestBytesAtDesignSize(t *testing.T) {
	const (
		gateways = 350
		inFlight = 27
		most     = 24 << 10
	)
	one, other := newGateway(1, "0123456789abcdef"), newGateway(2, "0123456789abcdef")
	one.Desk, other.Desk = desk(inFlight), desk(inFlight)
	one.init()
	one.addPeer(other.Self)
	exchange(t, one, other)
	bytes := exchange(t, one, other)
	// As many exchanges are begun by others as by the gateway itself.
	perSecond := float64(2*callsPerRound(gateways-1)*bytes) / exchangeInterval.Seconds()
	t.Logf("%d bytes an exchange, %.0f a second", bytes, perSecond)
	assert.Assert(t, perSecond <= most)
}
