package gateway

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"jasminewing.dev/jasminewing/internal/dispatch"
	"jasminewing.dev/jasminewing/internal/event"
	"jasminewing.dev/jasminewing/internal/memory"
	"jasminewing.dev/jasminewing/pkg/result"
	"jasminewing.dev/jasminewing/pkg/table"
)

// requestIDs generates request IDs that are unique in the fleet without
// coordination with other processes.
type requestIDs struct {
	prefix string
	count  atomic.Uint64
}

func (i *requestIDs) init() {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	i.prefix = hex.EncodeToString(b)
}

func (i *requestIDs) next() dispatch.RequestID {
	return dispatch.RequestID(fmt.Sprintf("req_%s_%d", i.prefix, i.count.Add(1)))
}

// Handler returns the HTTP handler for callers.
func (g *Gateway) Handler() http.Handler {
	r := mux.NewRouter().SkipClean(true)
	r.UseEncodedPath()
	r.HandleFunc("/v1/chat/completions", g.serveCall).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", g.serveCall).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", g.serveModels).Methods(http.MethodGet)
	r.HandleFunc("/readyz", g.serveReady).Methods(http.MethodGet)
	r.PathPrefix("/services/{class}/").HandlerFunc(g.serveCall).Methods(http.MethodGet, http.MethodHead,
		http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions)
	r.NotFoundHandler = g.refuseWith(result.NotFound)
	r.MethodNotAllowedHandler = g.refuseWith(result.MethodNotAllowed)
	return g.announceClose(withDeadlines(r))
}

// announceClose makes the answers of a draining gateway close their connections, so that
// callers don't send their next request on a connection that the gateway is about to close.
func (g *Gateway) announceClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.setClose(w)
		next.ServeHTTP(w, r)
	})
}

func (g *Gateway) setClose(w http.ResponseWriter) {
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

func (g *Gateway) refuseWith(code result.Code) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.metrics.countResult(code)
		a := &answer{w: w, id: g.ids.next(), detail: r.Method + " " + r.URL.Path}
		a.sendError(dispatch.Finish{Code: code, NotRun: true})
	})
}

// serveReady answers the readiness check of the platform's load balancer.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if code := g.Ready(); code != result.OK {
		http.Error(w, fmt.Sprintf("%d %s", code, code), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// serveCall handles one request from its headers to the end of its answer.
func (g *Gateway) serveCall(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	a := &answer{w: w, id: g.ids.next(), limit: g.MaxAnswer, arrived: time.Now(), beforeHead: g.setClose}
	a.keyed = len(r.Header.Values(keyHeader)) > 0
	v := g.Fleet.View()
	c, err := g.parseCall(w, r, a.id, v)
	if err != nil {
		g.logUnresolved(a, v, err)
		g.refuseCall(a, err)
		return
	}
	a.streamed = c.streamed
	a.memory = g.openMemory(w, c)
	defer a.releaseMemory()
	code, after := g.Quota.Take(time.Now(), c.account, c.class.MaxTokens)
	if code != result.OK {
		g.traces.refused(c, code)
		refusal := result.Errorf(code, "client account %q", c.account.Name)
		refusal.RetryAfter = after
		g.refuseCall(a, refusal)
		return
	}
	var used table.Tokens
	g.usages.begin(time.Now(), c.account.Name)
	defer func() {
		g.Quota.Done(time.Now(), c.account, c.class.MaxTokens, used)
		g.usages.end(time.Now(), c.account.Name, used)
	}()
	a.observeGap = g.metrics.gapObserver(c)
	f, tokens := g.execute(r.Context(), c, a)
	used = tokens
	f = a.outcome(f)
	g.metrics.recordFinish(c, a, f)
	g.logFinish(c, a, f)
	a.finish(f)
}

// openMemory opens the account of an answer. Callers that don't read theirs are closed when memory
// is short.
func (g *Gateway) openMemory(w http.ResponseWriter, c *call) *memory.Account {
	return g.Memory.Open(memory.Holder{
		Request: string(c.id), Client: string(c.account.Name), Activity: memory.Sent,
		Evict: func(memory.Activity) { _ = http.NewResponseController(w).SetWriteDeadline(time.Now()) },
	})
}

// refuseCall refuses a request that is invalid or exceeds the limits of its
// account.
func (g *Gateway) refuseCall(a *answer, err error) {
	code := result.CodeOf(err)
	g.metrics.countResult(code)
	a.detail = result.DetailOf(err)
	a.sendError(dispatch.Finish{Code: code, NotRun: code.Info().NotRun, RetryAfter: result.RetryAfterOf(err)})
}

func (g *Gateway) logFinish(c *call, a *answer, f dispatch.Finish) {
	switch {
	case f.Code == result.OK || f.Code == result.CallerGone:
	case f.Code == result.AnswerAbandoned:
		g.Log.WriteThrottled(event.AnswerCutOff, string(c.class.Name), "request_id", c.id, "code", int(f.Code), "detail", a.detail)
	default:
		g.Log.WriteThrottled(event.RequestFailed, string(c.class.Name)+"/"+f.Code.String(),
			"request_id", c.id, "code", int(f.Code), "detail", a.detail)
	}
}

// modelList is the OpenAI-style response of /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (g *Gateway) serveModels(w http.ResponseWriter, r *http.Request) {
	a := &answer{w: w, id: g.ids.next(), arrived: time.Now()}
	v := g.Fleet.View()
	if v.Table == nil {
		g.refuseCall(a, result.Errorf(result.NotReady, "no table yet"))
		return
	}
	if _, err := authenticate(v.Table, r.Header); err != nil {
		g.logUnresolved(a, v, err)
		g.refuseCall(a, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(modelsOf(v.Table))
}

func modelsOf(t *table.Table) modelList {
	var names []string
	for _, u := range t.Upstreams {
		if u.Kind != table.Engine {
			continue
		}
		for _, s := range u.Serves {
			names = append(names, string(s))
		}
	}
	slices.Sort(names)
	list := modelList{Object: "list"}
	for _, n := range slices.Compact(names) {
		list.Data = append(list.Data, modelItem{ID: n, Object: "model"})
	}
	return list
}

// withDeadlines limits how long a caller may take to send its body, also if the
// request is refused, because net/http reads what a handler left unread before
// it answers. readBody clears the read deadline once the body has been read
// completely.
func withDeadlines(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		now := time.Now()
		_ = control.SetReadDeadline(now.Add(bodyTimeout))
		_ = control.SetWriteDeadline(now.Add(bodyTimeout + writeTimeout))
		next.ServeHTTP(w, r)
		setUnreadDeadline(w)
	})
}

// setUnreadDeadline limits how long the unread rest of a body is waited for.
func setUnreadDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadTimeout))
}
