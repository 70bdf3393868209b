package connection

import "time"

const (
	// entryMemory is the memory of a connection without a request: the stack of its goroutine,
	// two buffers of 4 KB, the objects of package net/http, and what the garbage collector has
	// not freed. 2,400 connections that were idle after a request took 36 KB each, 3,000 that
	// had sent nothing 11 KB.
	entryMemory = 36 << 10
	// servedMemory is what a connection needs in addition while a request is served: the
	// response, and a part of the kernel's buffers.
	servedMemory = 40 << 10
	// memoryShare is the inverse of the fraction of the memory that connections may use, and
	// headShare that of heads which have not been read whole.
	memoryShare = 4
	headShare   = 16
	// minHeads is enough for a head of the largest size with the shortest possible lines.
	minHeads = 4 << 20
	// fileDescriptors are reserved by the platform for files. ownDescriptors is for listeners,
	// the connections to the store, and checks of readiness and metrics.
	fileDescriptors = 200
	ownDescriptors  = 32
	// closingDescriptors is for connections that are to be closed and are still open.
	closingDescriptors = 64
	// descriptorsPerGateway is for the connections to and from another gateway.
	descriptorsPerGateway = 2
	// minConnections is allowed however few descriptors there are.
	minConnections = 64
	// slowBody is how long a body may take to arrive before its connection can be closed for
	// others. At 10 Mbit/s, a usual body of 100 KB takes 80 ms, and one of 4 MB 3.4 s.
	slowBody = 3 * time.Second
	// shortageTime is how long after the last connection was closed for others the shortage
	// counts as over.
	shortageTime = 10 * time.Second
)

// Limits holds the limits of the routing table on the connections of callers.
type Limits struct {
	// HeadBytes is the maximum size of a head, and HeadTimeout the longest time that it may
	// take to arrive.
	HeadBytes   int64
	HeadTimeout time.Duration
	// IdleTimeout is how long a connection may be open without a request.
	IdleTimeout time.Duration
}

// DefaultLimits apply where the routing table sets none.
var DefaultLimits = Limits{HeadBytes: 64 << 10, HeadTimeout: 5 * time.Second, IdleTimeout: time.Minute}

// Or returns the limits with those of other in place of the ones that are not set.
func (l Limits) Or(other Limits) Limits {
	if l.HeadBytes <= 0 {
		l.HeadBytes = other.HeadBytes
	}
	if l.HeadTimeout <= 0 {
		l.HeadTimeout = other.HeadTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = other.IdleTimeout
	}
	return l
}

// Bounds holds what connections may use altogether. Zero means no bound.
type Bounds struct {
	// Descriptors is the number of descriptors of the process.
	Descriptors int
	// Memory is for connections and heads, and Heads for the heads among it that have not
	// been read whole, both in bytes.
	Memory, Heads int64
}

// NewBounds returns the bounds for a process with the given memory in bytes and the given
// number of descriptors. Zero means that the settings name none.
func NewBounds(memory int64, descriptors int) Bounds {
	b := Bounds{Descriptors: descriptors, Memory: memory / memoryShare}
	if memory > 0 {
		b.Heads = max(memory/headShare, minHeads)
	}
	return b
}

// forConnections returns the number of descriptors for callers and upstreams.
func (b *Bounds) forConnections(gateways int) int {
	return max(b.Descriptors-fileDescriptors-ownDescriptors-closingDescriptors-descriptorsPerGateway*gateways, minConnections)
}

// Bound is one of the Bounds.
type Bound int

// The bounds.
const (
	BoundDescriptors Bound = iota + 1
	BoundMemory
	BoundHeads
)

// String returns the name of the bound.
func (b Bound) String() string { return [...]string{"none", "descriptors", "memory", "heads"}[b] }

// Shortage tells whether connections have to be closed for others.
type Shortage struct {
	// Bound is the one that was exceeded last; zero if there is no shortage.
	Bound Bound
	last  time.Time
}

func (s *Shortage) begin(now time.Time, b Bound) { s.Bound, s.last = b, now }

// at returns the shortage at a time.
func (s Shortage) at(now time.Time) Shortage {
	if s.Bound != 0 && now.Sub(s.last) >= shortageTime {
		return Shortage{}
	}
	return s
}
