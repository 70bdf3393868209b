package route

import "time"

// UpstreamID names one incarnation of an upstream.
type UpstreamID string

// DataCentre names a data centre.
type DataCentre string

// Upstream is what is published of one upstream.
type Upstream struct {
	ID         UpstreamID
	Service    ServiceName
	Address    string
	DataCentre DataCentre
	// Slots is the number of requests that run at once.
	Slots int
	// Leaving upstreams get no new requests.
	Leaving bool
	// ColdFor is how long the upstream stays cold from the entry's writing.
	ColdFor time.Duration
	// StartedAtMillis is the Unix millisecond of the upstream's start; zero if unknown. An
	// upstream that starts again under its id has another.
	StartedAtMillis int64
}

// View is all that is published, as of one revision.
type View struct {
	Revision int64
	// Table is nil as long as no configuration is known.
	Table     *Table
	Upstreams []Upstream
	// DataCentresOut are the data centres that get no new requests.
	DataCentresOut map[DataCentre]bool
}
