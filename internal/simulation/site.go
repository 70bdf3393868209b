package simulation

import (
	"time"

	"jasminewing.dev/jasminewing/internal/route"
)

// Site describes a deployment: its engines, gateways and the usual traffic.
type Site struct {
	Name        string
	DataCentres []route.DataCentre
	Gateways    int
	Engines     int
	Engine      Engine
	Kinds       []Kind
	// CrossDataCentre is the one-way delay between data centres.
	CrossDataCentre time.Duration
	Retry           RetryBounds
}

// RetryBounds are the fleet-wide bounds on retries.
type RetryBounds struct {
	Ratio, Extra float64
}

// Engine holds the performance figures of an engine.
type Engine struct {
	BatchSize    int
	MemoryTokens int
	// QueueSize is the number of requests that may wait beyond the batch.
	QueueSize int
	// Step is the duration of a step without running requests, StepPerRequest what
	// each running request adds, and StepPerContext what each thousand tokens of
	// their contexts add.
	Step, StepPerRequest, StepPerContext time.Duration
	// PrefillRate is the number of prompt tokens processed per second, and
	// PairTime the time that attention takes per million pairs of tokens.
	PrefillRate float64
	PairTime    time.Duration
	// ChunkTokens is the number of prompt tokens that a step processes at most.
	ChunkTokens int
	// FirstToken is added to the latency of the first token.
	FirstToken time.Duration
	// EventTokens is the number of tokens in an event of a stream.
	EventTokens int
	// TokenBytes and LinkBitsPerSecond determine the time of fetches between
	// engines.
	TokenBytes, LinkBitsPerSecond float64
	// Speeds are factors on all durations, assigned to the engines in turn.
	Speeds []float64
}

// Kind is a kind of request.
type Kind struct {
	Name string
	// Rate is the usual number of requests per second.
	Rate      float64
	Rank      route.Rank
	Objective time.Duration
	Deadline  time.Duration
	// Pause is the longest pause between events of a stream that is on time, and
	// Patience the pause after which callers leave.
	Pause, Patience time.Duration
	// Worth is the credit of a request that is on time, and LateWorth of one that
	// is not.
	Worth, LateWorth float64
	Resumable        bool
	MaxAttempts      int
	Events           Size
	// Own is the number of tokens of the prompt part that belongs to a request
	// alone, and Shared the parts before it.
	Own    Size
	Shared []SharedPart
}

// Size is a log-normal distribution with the given mean, and sigma of the logarithm.
type Size struct{ Mean, Sigma, Max float64 }

// SharedPart is a prompt part that requests share.
type SharedPart struct {
	Tokens Size
	// Count is the number of such parts, and Skew the exponent of their popularity.
	Count int
	Skew  float64
}
