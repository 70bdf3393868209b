package route

import "time"

// UpstreamID identifies an upstream, which may restart under the same ID.
type UpstreamID string

// DataCentre is the name of a data centre.
type DataCentre string

// Upstream is the published state of one upstream.
type Upstream struct {
	ID         UpstreamID
	Service    ServiceName
	Address    string
	DataCentre DataCentre
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Leaving is true for an upstream that receives no new requests.
	Leaving bool
	// ColdFor is how long the upstream stays cold after the entry was written.
	ColdFor time.Duration
	// StartedAtMillis is the start time of the upstream in Unix milliseconds, or zero
	// if unknown. It changes if an upstream restarts under the same ID.
	StartedAtMillis int64
}

// Incarnation identifies one run of an upstream.
type Incarnation struct {
	ID              UpstreamID
	Address         string
	StartedAtMillis int64
}

// Incarnation returns the incarnation that an entry describes.
func (u Upstream) Incarnation() Incarnation { return Incarnation{u.ID, u.Address, u.StartedAtMillis} }

// Origin tells where a routing table comes from, and how far it is known to be current.
type Origin struct {
	// Era and Revision are the position in the store up to which every change of the table is
	// known.
	Era, Revision int64
	// Source is "store", or the address of the gateway that sent this position.
	Source string
	// AppliedAt is when the table came into force, and ConfirmedAt when Source sent the position.
	AppliedAt, ConfirmedAt time.Time
}

// View is a consistent snapshot of everything that is published, at one revision.
type View struct {
	Revision int64
	// Table is nil until a configuration is known.
	Table *Table
	// Origin is where Table comes from.
	Origin    Origin
	Upstreams []Upstream
	// DataCentresOut is the set of data centres that receive no new requests.
	DataCentresOut map[DataCentre]bool
}
