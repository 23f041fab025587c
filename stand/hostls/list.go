package hostls

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Host is an entry of the list. Role is "entry" or "agent"; Address is host and port.
type Host struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
}

// pendingChange is a change to the list that is not visible yet.
type pendingChange struct {
	visibleAt time.Time
	host      Host
	removed   bool
}

// List holds the visible hosts and the pending changes, oldest first.
type List struct {
	mu      sync.Mutex
	lag     time.Duration
	visible map[string]Host
	pending []pendingChange
}

// New returns an empty list that shows each change after a lag.
func New(lag time.Duration) *List {
	return &List{lag: lag, visible: map[string]Host{}}
}

// Seed adds a host, visible at once.
func (li *List) Seed(ho Host) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.visible[ho.Name] = ho
}

// Put adds or replaces a host after the lag.
func (li *List) Put(ho Host) { li.addPending(pendingChange{host: ho}) }

// Remove removes a host after the lag.
func (li *List) Remove(name string) {
	li.addPending(pendingChange{host: Host{Name: name}, removed: true})
}

// addPending queues a change to become visible after the lag.
func (li *List) addPending(pc pendingChange) {
	li.mu.Lock()
	defer li.mu.Unlock()
	pc.visibleAt = time.Now().Add(li.lag)
	li.pending = append(li.pending, pc)
}

// Hosts applies the changes that are due and returns the visible hosts, sorted by name.
func (li *List) Hosts() []Host {
	li.mu.Lock()
	defer li.mu.Unlock()
	now := time.Now()
	for len(li.pending) > 0 && !now.Before(li.pending[0].visibleAt) {
		pc := li.pending[0]
		li.pending = li.pending[1:]
		if pc.removed {
			delete(li.visible, pc.host.Name)
			continue
		}
		li.visible[pc.host.Name] = pc.host
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

// SetLag sets the lag of later changes. All changes still become visible in the order in which
// they were made.
func (li *List) SetLag(lag time.Duration) {
	li.mu.Lock()
	defer li.mu.Unlock()
	li.lag = lag
}
