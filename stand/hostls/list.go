package hostls

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Host is one entry of the list.
type Host struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
}

// change is an entry that becomes visible at a time.
type change struct {
	at      time.Time
	host    Host
	removed bool
}

// List holds what is visible and what is not yet.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	visible map[string]Host
	pending []change
}

// New returns a list that shows changes after a lag.
func New(lag time.Duration) *List {
	return &List{lag: lag, visible: map[string]Host{}}
}

// Seed adds a host that is visible at once.
func (li *List) Seed(ho Host) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.visible[ho.Name] = ho
}

// Put adds or changes a host after the lag.
func (li *List) Put(ho Host) { li.add(change{host: ho}) }

// Remove drops a host after the lag.
func (li *List) Remove(name string) { li.add(change{host: Host{Name: name}, removed: true}) }

// add queues a change.
func (li *List) add(ch change) {
	li.mu.Lock()
	defer li.mu.Unlock()
	ch.at = time.Now().Add(li.lag)
	li.pending = append(li.pending, ch)
}

// Hosts returns the visible entries in the order of their names.
func (li *List) Hosts() []Host {
	li.mu.Lock()
	defer li.mu.Unlock()
	now := time.Now()
	for len(li.pending) > 0 && !now.Before(li.pending[0].at) {
		ch := li.pending[0]
		li.pending = li.pending[1:]
		if ch.removed {
			delete(li.visible, ch.host.Name)
			continue
		}
		li.visible[ch.host.Name] = ch.host
	}
	hosts := make([]Host, 0, len(li.visible))
	for _, ho := range li.visible {
		hosts = append(hosts, ho)
	}
	slices.SortFunc(hosts, func(aa, bb Host) int { return strings.Compare(aa.Name, bb.Name) })
	return hosts
}

// Handler returns the list's HTTP interface.
func (li *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(wr).Encode(map[string][]Host{"hosts": li.Hosts()})
	})
	mux.HandleFunc("PUT /hosts/{name}", func(wr http.ResponseWriter, rq *http.Request) {
		ho := Host{}
		if err := json.NewDecoder(rq.Body).Decode(&ho); err != nil {
			http.Error(wr, err.Error(), http.StatusBadRequest)
			return
		}
		ho.Name = rq.PathValue("name")
		li.Put(ho)
	})
	mux.HandleFunc("DELETE /hosts/{name}", func(_ http.ResponseWriter, rq *http.Request) {
		li.Remove(rq.PathValue("name"))
	})
	return mux
}

// SetLag changes how late changes show.
func (li *List) SetLag(lag time.Duration) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.lag = lag
}
