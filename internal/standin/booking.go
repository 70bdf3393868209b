package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// Actions of a Booking determine how it handles its next calls. CutBeforeRun
// resets the connection before the booking is made, CutAfterRun resets it after
// the booking is made and without an answer, and CutAnswer closes it half way
// through the answer. CloseDelimited sends an answer whose end is marked only by
// the closed connection. Refuse answers with status 503 and a header that says
// that nothing was run. Fail answers with status 500 after the booking is made.
const (
	CutBeforeRun   Action = "cut_before_run"
	CutAfterRun    Action = "cut_after_run"
	CutAnswer      Action = "cut_answer"
	CloseDelimited Action = "close_delimited"
	Refuse         Action = "refuse"
	Fail           Action = "fail"
)

// Booking is a plain service whose calls must not run twice. It accepts any
// method and path and counts how often each booking runs.
type Booking struct {
	// Delay is the duration of a call. A run is counted at the start of the
	// call.
	Delay time.Duration

	once   sync.Once
	router *mux.Router

	mu        sync.Mutex
	action    Action
	remaining int
	stats     BookingStats
}

// BookingStats is the response body of GET /stats.
type BookingStats struct {
	// Runs is the number of runs by booking.
	Runs  map[string]int `json:"runs"`
	Total int            `json:"total"`
	// MostRuns is the highest number of runs of one booking. A value over 1
	// means that a booking ran more than once.
	MostRuns int `json:"most_runs"`
}

type bookingCall struct {
	Booking string `json:"booking"`
}

type bookingAnswer struct {
	Booking   string `json:"booking"`
	Run       int    `json:"run"`
	RequestID string `json:"request_id"`
}

type bookingControl struct {
	Action Action `json:"action"`
	// Times is the number of calls that the action applies to. Zero applies it
	// to all calls until the action is set to Normal.
	Times int `json:"times"`
}

// ServeHTTP serves /health, /control and /stats. Every other path makes a
// booking.
func (b *Booking) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.once.Do(b.init)
	b.router.ServeHTTP(w, r)
}

func (b *Booking) init() {
	b.action = Normal
	b.stats.Runs = map[string]int{}
	b.router = mux.NewRouter()
	b.router.HandleFunc("/health", b.serveHealth).Methods(http.MethodGet)
	b.router.HandleFunc("/stats", b.serveStats).Methods(http.MethodGet)
	b.router.HandleFunc("/control", b.serveControl).Methods(http.MethodPost)
	b.router.PathPrefix("/").HandlerFunc(b.serveBooking)
}

func (b *Booking) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, healthReport{Status: "ok", Instance: "booking"})
}

func (b *Booking) serveStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, b.Stats())
}

// Stats returns a copy of the counters.
func (b *Booking) Stats() BookingStats {
	b.once.Do(b.init)
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stats
	s.Runs = maps.Clone(s.Runs)
	return s
}

func (b *Booking) serveControl(w http.ResponseWriter, r *http.Request) {
	var o bookingControl
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := b.Control(o.Action, o.Times); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, b.Stats())
}

// Control sets the action for the next calls. If times is zero, the action
// applies until it is set to Normal. An unknown action is an error.
func (b *Booking) Control(a Action, times int) error {
	b.once.Do(b.init)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch a {
	case Normal, CutBeforeRun, CutAfterRun, CutAnswer, CloseDelimited, Refuse, Fail:
		b.action, b.remaining = a, times
		return nil
	}
	return fmt.Errorf("control booking: unknown action %q", a)
}

// nextAction returns the action for a call and counts it against the number of
// calls that the action applies to.
func (b *Booking) nextAction() Action {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.action
	if b.remaining > 0 {
		if b.remaining--; b.remaining == 0 {
			b.action = Normal
		}
	}
	return a
}

// recordRun counts a run of a booking and returns its number of runs so far.
func (b *Booking) recordRun(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Total++
	b.stats.Runs[id]++
	b.stats.MostRuns = max(b.stats.MostRuns, b.stats.Runs[id])
	return b.stats.Runs[id]
}

func (b *Booking) serveBooking(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	call := bookingCall{Booking: r.Method + " " + r.URL.Path}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &call); err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
	}
	action := b.nextAction()
	switch action {
	case CutBeforeRun:
		resetConnection(w)
		return
	case Refuse:
		writeNotRun(w, "the service takes no bookings")
		return
	}
	answer := bookingAnswer{Booking: call.Booking, Run: b.recordRun(call.Booking), RequestID: r.Header.Get("X-Request-Id")}
	// A booking that has started completes even if its caller disconnects.
	if b.Delay > 0 {
		t := time.NewTimer(b.Delay)
		<-t.C
	}
	b.writeAnswer(w, action, answer)
}

func (b *Booking) writeAnswer(w http.ResponseWriter, action Action, a bookingAnswer) {
	text, err := json.Marshal(a)
	if err != nil {
		writeError(w, http.StatusInternalServerError, err.Error())
		return
	}
	switch action {
	case CutAfterRun:
		resetConnection(w)
	case CutAnswer:
		writeRaw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text[:len(text)/2]))
	case CloseDelimited:
		writeRaw(w, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n"+string(text))
	case Fail:
		writeError(w, http.StatusInternalServerError, "the booking failed")
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(text)
	}
}

// writeRaw writes an answer directly to the connection, bypassing the HTTP
// server, and closes the connection.
func writeRaw(w http.ResponseWriter, answer string) {
	conn := hijack(w)
	_, _ = io.WriteString(conn, answer)
	conn.Close()
}
