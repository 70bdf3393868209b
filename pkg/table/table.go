// Package table parses and validates the operators' table: classes, client
// accounts, upstreams and data centres, with their weights and limits.
//
// The table is CSV as a spreadsheet saves it, with one file per section. Accounts
// may be split into several values (accounts_00, accounts_01, ...), so that an
// edit of one row transfers little data. A table with any fault is rejected as a
// whole.
//
// # Usage
//
//	t, faults := table.Parse(sections)
//	if len(faults) > 0 {
//		// each fault has a section, row, column and result code
//	}
package table

import (
	"slices"
	"sync"
	"time"
)

// Names and units used in the table.
type (
	// ClassName names a class of requests.
	ClassName string
	// AccountName names a client account.
	AccountName string
	// UpstreamName names an upstream.
	UpstreamName string
	// DataCentreName names a data centre.
	DataCentreName string
	// RegionName names a region of data centres.
	RegionName string
	// LoadName names what an engine is ordered to load: a model, an adapter or
	// a version.
	LoadName string
	// ServiceName names what an upstream serves: a model or a plain service.
	ServiceName string
	// KeyHash is the SHA-256 of a client account's bearer key.
	KeyHash [32]byte
	// Tier is a priority; tier 1 goes before tier 2.
	Tier int
	// Revision is the configuration service's revision of a value. Its upper bits are
	// the Era in which the service gave it.
	Revision uint64
	// Tokens is a number of output tokens of a model.
	Tokens int
	// Weight is a share relative to the weights of other rows.
	Weight int
)

// UpstreamKind is the kind of service that an upstream runs.
type UpstreamKind string

// Kinds of upstreams.
const (
	// Engine is a model engine with an OpenAI-compatible API.
	Engine UpstreamKind = "engine"
	// Plain is any other HTTP service.
	Plain UpstreamKind = "plain"
)

// State is an operator's setting of whether an upstream or data centre takes
// work.
type State string

// States of upstreams and data centres.
const (
	// In means that new work is accepted.
	In State = "in"
	// Out means that no new work is accepted; running work is finished.
	Out State = "out"
)

// DataCentre is a row of the section data_centres.
type DataCentre struct {
	Name   DataCentreName
	Region RegionName
	State  State
}

// Upstream is a row of the section upstreams.
type Upstream struct {
	Name       UpstreamName
	DataCentre DataCentreName
	Kind       UpstreamKind
	// Serves lists the models of an engine, or the one service of a plain
	// upstream.
	Serves []ServiceName
	Weight Weight
	// Limit is the maximum number of requests in flight when warm.
	Limit int
	// ColdLimit is the maximum number of requests in flight when cold.
	ColdLimit int
	// ChecksFencing reports that the engine refuses orders with an old fencing
	// number.
	ChecksFencing bool
	// Load is what the engine is ordered to load; empty if it gets no orders.
	Load  LoadName
	State State
}

// CanServe reports whether the upstream is of the kind and serves the model or
// plain service.
func (u Upstream) CanServe(kind UpstreamKind, s ServiceName) bool {
	return u.Kind == kind && slices.Contains(u.Serves, s)
}

// Class is a row of the section classes.
type Class struct {
	Name ClassName
	Tier Tier
	Kind UpstreamKind
	// Service is the plain service; empty for engine classes, whose requests
	// name a model.
	Service ServiceName
	Weight  Weight
	// Idempotent reports that a call may run more than once.
	Idempotent bool
	// FirstToken is the target time from arrival to the first byte of the
	// response.
	FirstToken time.Duration
	// TokenGap is the target time between tokens; zero for plain services.
	TokenGap time.Duration
	// Deadline limits the duration of the whole request.
	Deadline time.Duration
	// MaxWait is how long a request may wait before its tier gets one grant in
	// StarvationShare.
	MaxWait time.Duration
	// StarvationShare is the N in "one grant in N" for tiers that have waited
	// longer than MaxWait.
	StarvationShare int
	// MaxTokens is the estimated length of a response until responses have been
	// observed.
	MaxTokens Tokens
	// KeyWindow is how long an idempotency key is remembered.
	KeyWindow time.Duration
}

// Account is a row of the section accounts.
type Account struct {
	Name    AccountName
	KeyHash KeyHash
	// Classes lists the classes that the account may use; the first one of each
	// kind is the default for that kind.
	Classes []ClassName
	Weight  Weight
	// RequestsPerSecond is the rate limit for the whole fleet; zero for no
	// limit.
	RequestsPerSecond float64
	// Burst is the maximum number of requests at once above the rate.
	Burst int
	// TokensPerMinute is the rate limit for the whole fleet; zero for no limit.
	TokensPerMinute Tokens
	// InFlight is the maximum number of requests in flight in the whole fleet;
	// zero for no limit.
	InFlight int
}

// Table is a complete valid table. It is immutable and safe for concurrent use.
type Table struct {
	// Revision is the highest revision of the values that the table was built
	// from.
	Revision Revision
	// UpstreamsRevision is the revision of the section upstreams. It grows only
	// with edits of that section, and therefore numbers the orders that follow
	// from its rows.
	UpstreamsRevision Revision
	DataCentres       map[DataCentreName]DataCentre
	Upstreams         map[UpstreamName]Upstream
	Classes           map[ClassName]Class
	Accounts          map[AccountName]Account

	once    sync.Once
	indexed *index
}
