// Package event defines the numbered log events of jasminewing.
//
// Every log line is one of these events and carries its number in the field
// "event". A test keeps the catalogue in docs/EVENTS.md in sync with this
// package. Events never contain a request's body or a key.
//
// # Usage
//
//	l := &event.Log{Logger: log.New(os.Stderr)}
//	l.Write(event.TableApplied, "revision", 12)
package event

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
)

// Number identifies an event.
type Number int

// Log events. 1xx are startup and shutdown, 2xx the table and the fleet, 3xx
// upstreams, 4xx requests, 5xx idempotency keys.
const (
	Started           Number = 101
	Ready             Number = 102
	StopAsked         Number = 103
	Stopped           Number = 104
	StopForced        Number = 105
	ListenFailed      Number = 106
	PauseNoticed      Number = 107
	SettingRefused    Number = 108
	MemoryShort       Number = 109
	MemoryFree        Number = 110
	StopStage         Number = 111
	ServerFailed      Number = 112
	TableApplied      Number = 201
	TableRefused      Number = 202
	ConfigDown        Number = 203
	ConfigBack        Number = 204
	StaleCopy         Number = 205
	VMListApplied     Number = 206
	VMListDown        Number = 207
	PeerRefused       Number = 208
	VMListBack        Number = 209
	HistoryDropped    Number = 210
	EntrySkipped      Number = 211
	FetchFailed       Number = 212
	FetchedState      Number = 213
	GatewayHeard      Number = 214
	GatewaySilent     Number = 215
	SettingsReread    Number = 216
	WatchChanged      Number = 217
	ReadCut           Number = 218
	StateBehind       Number = 219
	StateCaughtUp     Number = 220
	StoreRestored     Number = 221
	StateIgnored      Number = 222
	UpstreamCold      Number = 301
	UpstreamWarm      Number = 302
	UpstreamLeaves    Number = 303
	UpstreamDown      Number = 304
	UpstreamBack      Number = 305
	DataCentreOut     Number = 306
	DataCentreIn      Number = 307
	OrderGiven        Number = 308
	OrderFailed       Number = 309
	UpstreamListed    Number = 310
	UpstreamRemoved   Number = 311
	UpstreamAvoided   Number = 312
	UpstreamPaused    Number = 313
	PauseIgnored      Number = 314
	EngineWeighed     Number = 315
	RequestFailed     Number = 401
	RequestSuspect    Number = 402
	AnswerCutOff      Number = 403
	RequestEnded      Number = 404
	RequestResent     Number = 405
	LinesDropped      Number = 406
	CrashHeard        Number = 407
	UpstreamCrashed   Number = 408
	TraitsHeld        Number = 409
	TraitsReleased    Number = 410
	TraitsTried       Number = 411
	RequestUnfinished Number = 412
	RequestUnresolved Number = 413
	// 421 and on are the connections of callers.
	ConnectionsShort  Number = 421
	ConnectionsEnough Number = 422
	KeyUnknown        Number = 501
	KeysFull          Number = 502
)

// Level is the severity of an event.
type Level int

// Levels, from the least to the most severe.
const (
	Info Level = iota
	Warn
	Error
)

// Entry describes an event.
type Entry struct {
	Number Number
	Name   string
	Level  Level
	// Text is the message of the log line.
	Text string
	// Action is what an operator should do about the event.
	Action string
}

// throttleWindow is the time during which WriteThrottled writes an event at
// most once per subject.
const throttleWindow = 10 * time.Second

type throttleKey struct {
	number  Number
	subject string
}

type throttleState struct {
	since      time.Time
	suppressed int
}

// Log writes events to Logger, which must be set before use. Tests may set Now
// to replace the clock.
type Log struct {
	Logger *log.Logger
	Now    func() time.Time

	mu   sync.Mutex
	seen map[throttleKey]throttleState
}

// Write logs an event. The fields are alternating keys and values.
func (l *Log) Write(n Number, fields ...any) {
	if l == nil || l.Logger == nil {
		return
	}
	e := n.Entry()
	fields = append([]any{"event", int(n), "name", e.Name}, fields...)
	switch e.Level {
	case Error:
		l.Logger.Error(e.Text, fields...)
	case Warn:
		l.Logger.Warn(e.Text, fields...)
	default:
		l.Logger.Info(e.Text, fields...)
	}
}

// WriteThrottled logs an event at most once per throttle window for each
// subject. The next line that is written for the subject has the number of
// suppressed events in the field "repeated".
func (l *Log) WriteThrottled(n Number, subject string, fields ...any) {
	if l == nil {
		return
	}
	suppressed, ok := l.allow(throttleKey{n, subject})
	if !ok {
		return
	}
	fields = append([]any{"subject", subject}, fields...)
	if suppressed > 0 {
		fields = append(fields, "repeated", suppressed)
	}
	l.Write(n, fields...)
}

func (l *Log) allow(k throttleKey) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.Now != nil {
		now = l.Now()
	}
	if l.seen == nil {
		l.seen = make(map[throttleKey]throttleState)
	}
	s, found := l.seen[k]
	if found && now.Sub(s.since) < throttleWindow {
		s.suppressed++
		l.seen[k] = s
		return 0, false
	}
	l.evictExpired(now)
	l.seen[k] = throttleState{since: now}
	return s.suppressed, true
}

// evictExpired removes subjects whose last line is at least two windows old,
// which bounds the map to the subjects with recent events.
func (l *Log) evictExpired(now time.Time) {
	for k, s := range l.seen {
		if now.Sub(s.since) >= 2*throttleWindow {
			delete(l.seen, k)
		}
	}
}

// Entry returns the description of the event. An unknown number gets an entry
// named "unknown" at level Error.
func (n Number) Entry() Entry {
	for _, e := range entries {
		if e.Number == n {
			return e
		}
	}
	return Entry{Number: n, Name: "unknown", Level: Error, Text: "unknown event"}
}

// All returns every event, sorted by number.
func All() []Entry { return append([]Entry(nil), entries...) }
