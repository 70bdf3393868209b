// Package table is the operators' table: classes, client accounts, upstreams
// and data centres, with their weights and limits.
//
// The table is CSV as a spreadsheet saves it, one file a section. Accounts may
// be split over several values (accounts_00, accounts_01, ...), so that an edit
// of one row moves little. A table that does not validate is refused as a whole.
//
// # Usage
//
//	t, faults := table.Parse(sections)
//	if len(faults) > 0 {
//		// each has section, row, column and a result code
//	}
package table

import (
	"slices"
	"sync"
	"time"
)

// Names and units of the table.
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
	// LoadName names what an engine is to hold loaded: a model, an adapter or a
	// version.
	LoadName string
	// ServiceName names what an upstream serves: a model or a plain service.
	ServiceName string
	// KeyHash is the SHA-256 of a client account's bearer key.
	KeyHash [32]byte
	// Tier is a priority; 1 goes before 2.
	Tier int
	// Revision is the configuration service's revision of a value.
	Revision uint64
	// Tokens counts tokens of a model's output.
	Tokens int
	// Weight is a share relative to others.
	Weight int
)

// UpstreamKind says how an upstream is spoken to.
type UpstreamKind string

// Kinds of upstreams.
const (
	// Engine is a model engine with the OpenAI shape.
	Engine UpstreamKind = "engine"
	// Plain is any other HTTP service.
	Plain UpstreamKind = "plain"
)

// State is an operator's switch.
type State string

// States of upstreams and data centres.
const (
	// In takes work.
	In State = "in"
	// Out takes no new work; what runs is finished.
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
	// Serves lists the models, or the one plain service.
	Serves []ServiceName
	Weight Weight
	// Limit is the most requests in flight when warm.
	Limit int
	// ColdLimit is the most requests in flight when cold.
	ColdLimit int
	// ChecksFencing says that the engine refuses orders with an old number.
	ChecksFencing bool
	// Load is what the engine is ordered to load; empty for no orders.
	Load  LoadName
	State State
}

// CanServe says that the upstream serves a model, or a plain service.
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
	// Idempotent says that a call may run more than once.
	Idempotent bool
	// FirstToken is the target from arrival to the first byte of the answer.
	FirstToken time.Duration
	// TokenGap is the target between tokens; zero for plain services.
	TokenGap time.Duration
	// Deadline bounds the whole request.
	Deadline time.Duration
	// MaxWait is how long a request may wait before it gets one grant in
	// StarvationShare.
	MaxWait time.Duration
	// StarvationShare is the N of one grant in N for tiers that waited too long.
	StarvationShare int
	// MaxTokens is the estimate for an answer before any was seen.
	MaxTokens Tokens
	// KeyWindow is how long an idempotency key is remembered.
	KeyWindow time.Duration
}

// Account is a row of the section accounts.
type Account struct {
	Name    AccountName
	KeyHash KeyHash
	// Classes lists the classes that the account may use; the first of a kind
	// is the default.
	Classes []ClassName
	Weight  Weight
	// RequestsPerSecond is for the whole fleet; zero for no limit.
	RequestsPerSecond float64
	// Burst is the most requests at once above the rate.
	Burst int
	// TokensPerMinute is for the whole fleet; zero for no limit.
	TokensPerMinute Tokens
	// InFlight is the most requests in flight in the whole fleet; zero for no limit.
	InFlight int
}

// Table is a whole valid table. It is never changed once made, and may be read
// by many at once.
type Table struct {
	// Revision is the highest revision of the values it was made from.
	Revision Revision
	// UpstreamsRevision is the revision of the section upstreams. It only grows
	// with edits of that section, so it numbers the orders that its rows cause.
	UpstreamsRevision Revision
	DataCentres       map[DataCentreName]DataCentre
	Upstreams         map[UpstreamName]Upstream
	Classes           map[ClassName]Class
	Accounts          map[AccountName]Account

	once    sync.Once
	indexed *index
}
