package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"jasminewing.dev/jasminewing/internal/fleet"
	"jasminewing.dev/jasminewing/pkg/table"
)

// VMs is the VM list of the platform. Changes become visible after a lag.
type VMs struct {
	// Lag is the time until a change becomes visible.
	Lag time.Duration

	once sync.Once

	mu        sync.Mutex
	current   fleet.VMList
	published lagged[fleet.VMList]
	// era is the number of times that the list was restored, and saved the list of the
	// last SaveSnapshot.
	era     table.Era
	saved   fleet.VMList
	down    bool
	changed chan struct{}
	calls   int
}

func (v *VMs) init() {
	v.published.lag = v.Lag
	v.changed = make(chan struct{})
}

// Service returns the handler for the processes of the fleet: GET /v1/vms.
func (v *VMs) Service() http.Handler {
	v.once.Do(v.init)
	r := mux.NewRouter()
	r.HandleFunc("/v1/vms", v.watch).Methods(http.MethodGet)
	return r
}

// Control returns the handler for the system that creates and removes VMs: PUT
// and DELETE /v1/vms/NAME, and POST /v1/state/{up,down}.
func (v *VMs) Control() http.Handler {
	v.once.Do(v.init)
	r := mux.NewRouter()
	r.HandleFunc("/v1/vms/{name}", v.put).Methods(http.MethodPut)
	r.HandleFunc("/v1/vms/{name}", v.remove).Methods(http.MethodDelete)
	r.HandleFunc("/v1/state/{state:up|down}", func(_ http.ResponseWriter, r *http.Request) {
		v.SetDown(mux.Vars(r)["state"] == "down")
	}).Methods(http.MethodPost)
	return r
}

// Set adds or replaces a VM.
func (v *VMs) Set(vm fleet.VM) {
	v.update(func(vms []fleet.VM) []fleet.VM { return append(withoutVM(vms, vm.Name), vm) })
}

// Remove removes a VM from the list.
func (v *VMs) Remove(name fleet.VMName) {
	v.update(func(vms []fleet.VM) []fleet.VM { return withoutVM(vms, name) })
}

func withoutVM(vms []fleet.VM, name fleet.VMName) []fleet.VM {
	return slices.DeleteFunc(slices.Clone(vms), func(o fleet.VM) bool { return o.Name == name })
}

func (v *VMs) update(f func([]fleet.VM) []fleet.VM) {
	v.once.Do(v.init)
	v.mu.Lock()
	defer v.mu.Unlock()
	vms := f(v.current.VMs)
	slices.SortFunc(vms, func(a, b fleet.VM) int { return cmp.Compare(a.Name, b.Name) })
	v.current = fleet.VMList{Version: v.current.Version + 1, VMs: vms}
	v.published.set(time.Now(), v.current)
	if v.Lag == 0 {
		v.notifyWatchers()
		return
	}
	time.AfterFunc(v.Lag, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.notifyWatchers()
	})
}

// SaveSnapshot saves the current list for Restore.
func (v *VMs) SaveSnapshot() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.saved = v.current
}

// Restore makes the list continue from the last SaveSnapshot in a new era.
func (v *VMs) Restore() {
	v.once.Do(v.init)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.era++
	v.current = v.saved
	v.published = lagged[fleet.VMList]{lag: v.Lag}
	v.published.set(time.Now().Add(-v.Lag), v.current)
	v.notifyWatchers()
}

// SetDown makes the list reset every connection, including those of waiting
// watches.
func (v *VMs) SetDown(down bool) {
	v.once.Do(v.init)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = down
	v.notifyWatchers()
}

// Calls returns the number of calls so far.
func (v *VMs) Calls() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.calls
}

// notifyWatchers makes every waiting watch check for changes. The caller holds
// mu.
func (v *VMs) notifyWatchers() {
	close(v.changed)
	v.changed = make(chan struct{})
}

func (v *VMs) publishedList() (list fleet.VMList, era table.Era, changed <-chan struct{}, down bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.published.at(time.Now()), v.era, v.changed, v.down
}

func (v *VMs) watch(w http.ResponseWriter, r *http.Request) {
	after, wait, err := watchQuery(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	asked, err := eraQuery(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	v.mu.Lock()
	v.calls++
	v.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	timedOut := false
	for {
		list, era, changed, down := v.publishedList()
		switch {
		case down:
			resetConnection(w)
			return
		case uint64(list.Version) > after || asked != era:
			setEra(w, era)
			writeJSON(w, http.StatusOK, list)
			return
		case timedOut:
			w.WriteHeader(http.StatusNotModified)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			closeConnection(w)
			return
		}
	}
}

func (v *VMs) put(w http.ResponseWriter, r *http.Request) {
	var vm fleet.VM
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&vm); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	vm.Name = fleet.VMName(mux.Vars(r)["name"])
	v.Set(vm)
}

func (v *VMs) remove(_ http.ResponseWriter, r *http.Request) {
	v.Remove(fleet.VMName(mux.Vars(r)["name"]))
}

// watchQuery parses the query of a watch: the revision or version after which
// changes are reported, and the maximum time to wait, which is at most
// maxWait.
func watchQuery(r *http.Request) (after uint64, wait time.Duration, err error) {
	q := r.URL.Query()
	if s := q.Get("after"); s != "" {
		if after, err = strconv.ParseUint(s, 10, 64); err != nil {
			return 0, 0, fmt.Errorf("read after: %w", err)
		}
	}
	if s := q.Get("wait_ms"); s != "" {
		ms, err := strconv.ParseUint(s, 10, 32)
		if err != nil {
			return 0, 0, fmt.Errorf("read wait_ms: %w", err)
		}
		wait = min(time.Duration(ms)*time.Millisecond, maxWait)
	}
	return after, wait, nil
}
