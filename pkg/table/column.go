package table

import "time"

// commentColumn is allowed in every section; its cells are ignored.
const commentColumn = "comment"

// column describes a column of a section whose rows have type T.
type column[T any] struct {
	name string
	// required means that the column must be present and that no cell of it may
	// be empty.
	required bool
	// defaultValue is the cell text that replaces an empty cell.
	defaultValue string
	// derivedDefault describes, for the docs, a default that depends on other
	// cells.
	derivedDefault string
	description    string
	codec          cellCodec[T]
}

var dataCentreColumns = []column[DataCentre]{
	{
		name: "name", required: true, description: "name of the data centre",
		codec: nameCodec(func(r *DataCentre) *DataCentreName { return &r.Name }, namePattern),
	},
	{
		name: "region", required: true, description: "region it lies in",
		codec: nameCodec(func(r *DataCentre) *RegionName { return &r.Region }, namePattern),
	},
	{
		name: "state", defaultValue: string(In), description: "`out` gives it no new work; what runs is finished",
		codec: choiceCodec(func(r *DataCentre) *State { return &r.State }, In, Out),
	},
}

var upstreamColumns = []column[Upstream]{
	{
		name: "name", required: true, description: "name of the upstream",
		codec: nameCodec(func(r *Upstream) *UpstreamName { return &r.Name }, namePattern),
	},
	{
		name: "data_centre", required: true, description: "row of `data_centres` it stands in",
		codec: nameCodec(func(r *Upstream) *DataCentreName { return &r.DataCentre }, namePattern),
	},
	{
		name: "kind", required: true, description: "model engine, or plain HTTP service",
		codec: choiceCodec(func(r *Upstream) *UpstreamKind { return &r.Kind }, Engine, Plain),
	},
	{
		name: "serves", required: true, description: "models of an engine, or the one service of a plain upstream",
		codec: namesCodec(func(r *Upstream) *[]ServiceName { return &r.Serves }, serviceNamePattern),
	},
	{
		name: "weight", defaultValue: "1", description: "share of work relative to other upstreams",
		codec: numberCodec(func(r *Upstream) *Weight { return &r.Weight }, "share", 1, 10_000),
	},
	{
		name: "limit", required: true, description: "most requests in flight when warm",
		codec: numberCodec(func(r *Upstream) *int { return &r.Limit }, "requests", 1, 10_000),
	},
	{
		name: "cold_limit", defaultValue: "1", description: "most requests in flight when cold; not above `limit`",
		codec: numberCodec(func(r *Upstream) *int { return &r.ColdLimit }, "requests", 1, 10_000),
	},
	{
		name: "checks_fencing", defaultValue: "no", description: "whether the engine refuses orders with an old fencing number",
		codec: yesNoCodec(func(r *Upstream) *bool { return &r.ChecksFencing }),
	},
	{
		name: "load", derivedDefault: "none", description: "what the engine is ordered to load, such as `draft@v7`; empty for no orders, as for `plain`",
		codec: nameCodec(func(r *Upstream) *LoadName { return &r.Load }, loadNamePattern),
	},
	{
		name: "state", defaultValue: string(In), description: "`out` gives it no new work; what runs is finished",
		codec: choiceCodec(func(r *Upstream) *State { return &r.State }, In, Out),
	},
}

var classColumns = []column[Class]{
	{
		name: "name", required: true, description: "name of the class",
		codec: nameCodec(func(r *Class) *ClassName { return &r.Name }, namePattern),
	},
	{
		name: "tier", required: true, description: "priority; 1 goes before 2",
		codec: numberCodec(func(r *Class) *Tier { return &r.Tier }, "rank", 1, 9),
	},
	{
		name: "kind", required: true, description: "kind of upstream that serves it",
		codec: choiceCodec(func(r *Class) *UpstreamKind { return &r.Kind }, Engine, Plain),
	},
	{
		name: "service", derivedDefault: "none", description: "plain service that serves it; empty for `engine`, whose requests name a model",
		codec: nameCodec(func(r *Class) *ServiceName { return &r.Service }, serviceNamePattern),
	},
	{
		name: "weight", defaultValue: "1", description: "share relative to other classes of its tier",
		codec: numberCodec(func(r *Class) *Weight { return &r.Weight }, "share", 1, 10_000),
	},
	{
		name: "idempotent", required: true, description: "whether a call may run more than once",
		codec: yesNoCodec(func(r *Class) *bool { return &r.Idempotent }),
	},
	{
		name: "first_token", required: true, description: "target from arrival to the first byte of the answer; not above `deadline`",
		codec: durationCodec(func(r *Class) *time.Duration { return &r.FirstToken }, time.Millisecond, time.Hour),
	},
	{
		name: "token_gap", defaultValue: "0s", description: "target between tokens; needed for `engine`, empty or 0s for `plain`",
		codec: durationCodec(func(r *Class) *time.Duration { return &r.TokenGap }, 0, time.Minute),
	},
	{
		name: "deadline", defaultValue: "2m", description: "bound of the whole request",
		codec: durationCodec(func(r *Class) *time.Duration { return &r.Deadline }, 10*time.Millisecond, 6*time.Hour),
	},
	{
		name: "max_wait", derivedDefault: "a quarter of `deadline`", description: "wait after which the tier gets one grant in `starvation_share`; not above `deadline`",
		codec: durationCodec(func(r *Class) *time.Duration { return &r.MaxWait }, time.Millisecond, 6*time.Hour),
	},
	{
		name: "starvation_share", defaultValue: "10", description: "the N of one grant in N for a tier that waited too long",
		codec: numberCodec(func(r *Class) *int { return &r.StarvationShare }, "grants", 2, 1000),
	},
	{
		name: "max_tokens", defaultValue: "512", description: "estimate of an answer's length before any was seen",
		codec: numberCodec(func(r *Class) *Tokens { return &r.MaxTokens }, "tokens", 1, 1_000_000),
	},
	{
		name: "key_window", defaultValue: "1h", description: "time for which an idempotency key is remembered; not below `deadline` where `idempotent` is no",
		codec: durationCodec(func(r *Class) *time.Duration { return &r.KeyWindow }, time.Second, 7*24*time.Hour),
	},
}

var accountColumns = []column[Account]{
	{
		name: "name", required: true, description: "name of the client account",
		codec: nameCodec(func(r *Account) *AccountName { return &r.Name }, namePattern),
	},
	{
		name: "key_sha256", required: true, description: "SHA-256 of its bearer key; the key itself is never in the table",
		codec: hashCodec(func(r *Account) *KeyHash { return &r.KeyHash }),
	},
	{
		name: "classes", required: true, description: "rows of `classes` it may use; the first of a kind is its default",
		codec: namesCodec(func(r *Account) *[]ClassName { return &r.Classes }, namePattern),
	},
	{
		name: "weight", defaultValue: "1", description: "share relative to other accounts of a class",
		codec: numberCodec(func(r *Account) *Weight { return &r.Weight }, "share", 1, 10_000),
	},
	{
		name: "requests_per_second", defaultValue: "0", description: "rate for the whole fleet; 0 for no limit",
		codec: rateCodec(func(r *Account) *float64 { return &r.RequestsPerSecond }, "requests a second", 0.01, 1_000_000),
	},
	{
		name: "burst", derivedDefault: "`requests_per_second` rounded up, at least 1", description: "most requests at once above the rate",
		codec: numberCodec(func(r *Account) *int { return &r.Burst }, "requests", 1, 1_000_000),
	},
	{
		name: "tokens_per_minute", defaultValue: "0", description: "rate for the whole fleet; 0 for no limit",
		codec: numberCodec(func(r *Account) *Tokens { return &r.TokensPerMinute }, "tokens a minute", 0, 1_000_000_000),
	},
	{
		name: "in_flight", defaultValue: "0", description: "most requests in flight in the whole fleet; 0 for no limit",
		codec: numberCodec(func(r *Account) *int { return &r.InFlight }, "requests", 0, 1_000_000),
	},
}
