package table

import "time"

// commentColumn is taken in every section and ignored.
const commentColumn = "comment"

// column is a column of a section whose rows are of type T.
type column[T any] struct {
	name string
	// required says that the column and each of its cells must be there.
	required bool
	// fallback is what an empty cell stands for.
	fallback string
	// derived describes a default that depends on other cells.
	derived string
	text    string
	kind    kind[T]
}

var dataCentreColumns = []column[DataCentre]{
	{
		name: "name", required: true, text: "name of the data centre",
		kind: nameKind(func(r *DataCentre) *DataCentreName { return &r.Name }, plainName),
	},
	{
		name: "region", required: true, text: "region it lies in",
		kind: nameKind(func(r *DataCentre) *RegionName { return &r.Region }, plainName),
	},
	{
		name: "state", fallback: string(In), text: "`out` gives it no new work; what runs is finished",
		kind: choiceKind(func(r *DataCentre) *State { return &r.State }, In, Out),
	},
}

var upstreamColumns = []column[Upstream]{
	{
		name: "name", required: true, text: "name of the upstream",
		kind: nameKind(func(r *Upstream) *UpstreamName { return &r.Name }, plainName),
	},
	{
		name: "data_centre", required: true, text: "row of `data_centres` it stands in",
		kind: nameKind(func(r *Upstream) *DataCentreName { return &r.DataCentre }, plainName),
	},
	{
		name: "kind", required: true, text: "model engine, or plain HTTP service",
		kind: choiceKind(func(r *Upstream) *UpstreamKind { return &r.Kind }, Engine, Plain),
	},
	{
		name: "serves", required: true, text: "models of an engine, or the one service of a plain upstream",
		kind: namesKind(func(r *Upstream) *[]ServiceName { return &r.Serves }, serviceName),
	},
	{
		name: "weight", fallback: "1", text: "share of work relative to other upstreams",
		kind: numberKind(func(r *Upstream) *Weight { return &r.Weight }, "share", 1, 10_000),
	},
	{
		name: "limit", required: true, text: "most requests in flight when warm",
		kind: numberKind(func(r *Upstream) *int { return &r.Limit }, "requests", 1, 10_000),
	},
	{
		name: "cold_limit", fallback: "1", text: "most requests in flight when cold; not above `limit`",
		kind: numberKind(func(r *Upstream) *int { return &r.ColdLimit }, "requests", 1, 10_000),
	},
	{
		name: "checks_fencing", fallback: "no", text: "whether the engine refuses orders with an old fencing number",
		kind: yesNoKind(func(r *Upstream) *bool { return &r.ChecksFencing }),
	},
	{
		name: "load", derived: "none", text: "what the engine is ordered to load, such as `draft@v7`; empty for no orders, as for `plain`",
		kind: nameKind(func(r *Upstream) *LoadName { return &r.Load }, loadName),
	},
	{
		name: "state", fallback: string(In), text: "`out` gives it no new work; what runs is finished",
		kind: choiceKind(func(r *Upstream) *State { return &r.State }, In, Out),
	},
}

var classColumns = []column[Class]{
	{
		name: "name", required: true, text: "name of the class",
		kind: nameKind(func(r *Class) *ClassName { return &r.Name }, plainName),
	},
	{
		name: "tier", required: true, text: "priority; 1 goes before 2",
		kind: numberKind(func(r *Class) *Tier { return &r.Tier }, "rank", 1, 9),
	},
	{
		name: "kind", required: true, text: "kind of upstream that serves it",
		kind: choiceKind(func(r *Class) *UpstreamKind { return &r.Kind }, Engine, Plain),
	},
	{
		name: "service", derived: "none", text: "plain service that serves it; empty for `engine`, whose requests name a model",
		kind: nameKind(func(r *Class) *ServiceName { return &r.Service }, serviceName),
	},
	{
		name: "weight", fallback: "1", text: "share relative to other classes of its tier",
		kind: numberKind(func(r *Class) *Weight { return &r.Weight }, "share", 1, 10_000),
	},
	{
		name: "idempotent", required: true, text: "whether a call may run more than once",
		kind: yesNoKind(func(r *Class) *bool { return &r.Idempotent }),
	},
	{
		name: "first_token", required: true, text: "target from arrival to the first byte of the answer; not above `deadline`",
		kind: durationKind(func(r *Class) *time.Duration { return &r.FirstToken }, time.Millisecond, time.Hour),
	},
	{
		name: "token_gap", fallback: "0s", text: "target between tokens; needed for `engine`, empty or 0s for `plain`",
		kind: durationKind(func(r *Class) *time.Duration { return &r.TokenGap }, 0, time.Minute),
	},
	{
		name: "deadline", fallback: "2m", text: "bound of the whole request",
		kind: durationKind(func(r *Class) *time.Duration { return &r.Deadline }, 10*time.Millisecond, 6*time.Hour),
	},
	{
		name: "max_wait", derived: "a quarter of `deadline`", text: "wait after which the tier gets one grant in `starvation_share`; not above `deadline`",
		kind: durationKind(func(r *Class) *time.Duration { return &r.MaxWait }, time.Millisecond, 6*time.Hour),
	},
	{
		name: "starvation_share", fallback: "10", text: "the N of one grant in N for a tier that waited too long",
		kind: numberKind(func(r *Class) *int { return &r.StarvationShare }, "grants", 2, 1000),
	},
	{
		name: "max_tokens", fallback: "512", text: "estimate of an answer's length before any was seen",
		kind: numberKind(func(r *Class) *Tokens { return &r.MaxTokens }, "tokens", 1, 1_000_000),
	},
	{
		name: "key_window", fallback: "1h", text: "time for which an idempotency key is remembered; not below `deadline` where `idempotent` is no",
		kind: durationKind(func(r *Class) *time.Duration { return &r.KeyWindow }, time.Second, 7*24*time.Hour),
	},
}

var accountColumns = []column[Account]{
	{
		name: "name", required: true, text: "name of the client account",
		kind: nameKind(func(r *Account) *AccountName { return &r.Name }, plainName),
	},
	{
		name: "key_sha256", required: true, text: "SHA-256 of its bearer key; the key itself is never in the table",
		kind: hashKind(func(r *Account) *KeyHash { return &r.KeyHash }),
	},
	{
		name: "classes", required: true, text: "rows of `classes` it may use; the first of a kind is its default",
		kind: namesKind(func(r *Account) *[]ClassName { return &r.Classes }, plainName),
	},
	{
		name: "weight", fallback: "1", text: "share relative to other accounts of a class",
		kind: numberKind(func(r *Account) *Weight { return &r.Weight }, "share", 1, 10_000),
	},
	{
		name: "requests_per_second", fallback: "0", text: "rate for the whole fleet; 0 for no limit",
		kind: rateKind(func(r *Account) *float64 { return &r.RequestsPerSecond }, "requests a second", 0.01, 1_000_000),
	},
	{
		name: "burst", derived: "`requests_per_second` rounded up, at least 1", text: "most requests at once above the rate",
		kind: numberKind(func(r *Account) *int { return &r.Burst }, "requests", 1, 1_000_000),
	},
	{
		name: "tokens_per_minute", fallback: "0", text: "rate for the whole fleet; 0 for no limit",
		kind: numberKind(func(r *Account) *Tokens { return &r.TokensPerMinute }, "tokens a minute", 0, 1_000_000_000),
	},
	{
		name: "in_flight", fallback: "0", text: "most requests in flight in the whole fleet; 0 for no limit",
		kind: numberKind(func(r *Account) *int { return &r.InFlight }, "requests", 0, 1_000_000),
	},
}
