package direct

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/core/reader"
	"github.com/bambooladder/bambooladder/core/roster"
)

// announcedMax is the number of versions of an adapter that are kept.
const announcedMax = 8

// announcedVersion is an adapter version and the time at which the node learned of it.
type announcedVersion struct {
	version   int
	learnedAt time.Time
	// initial is true if the version existed when the node started, so that its age is
	// unknown.
	initial bool
}

// logView is the node's current view of the platform's log.
type logView struct {
	table atomic.Pointer[paths.Table]
	// routesLogDown is true while the topic that holds the routes cannot be read.
	routesLogDown atomic.Bool

	mu     sync.Mutex
	epochs reader.Epochs
	// versions holds the last announcedMax versions of each adapter, the newest at the end. The time for which older
	// ones may be used belongs to each of them.
	versions      map[grant.Key][]announcedVersion
	servers       roster.Roster
	serversListed bool
}

// newLogView returns an empty view.
func newLogView() *logView {
	return &logView{versions: map[grant.Key][]announcedVersion{}}
}

// setTable stores a routing table and reports whether it is newer than the current one, which it returns, nil if it is the
// first.
func (lv *logView) setTable(ta *paths.Table) (*paths.Table, bool) {
	for {
		current := lv.table.Load()
		if current != nil && ta.Version <= current.Version {
			return current, false
		}
		if lv.table.CompareAndSwap(current, ta) {
			return current, true
		}
	}
}

// services returns the services of the routing table by name, none before the first table.
func (lv *logView) services() map[string]paths.Service {
	if ta := lv.table.Load(); ta != nil {
		return ta.Services
	}
	return nil
}

// offers returns a function that reports whether the routing table has a service. All services count before the
// first table.
func (lv *logView) offers() func(service string) bool {
	ta := lv.table.Load()
	return func(service string) bool {
		if ta == nil {
			return true
		}
		_, ok := ta.Services[service]
		return ok
	}
}

// addVersion stores an adapter version and reports whether it is newer than the known one.
func (lv *logView) addVersion(av *AdapterVersion, initial bool, now time.Time) bool {
	lv.mu.Lock()
	defer lv.mu.Unlock()
	ke := grant.Key{Model: av.Model, Adapter: av.Adapter}
	list := lv.versions[ke]
	if len(list) > 0 && av.Version <= list[len(list)-1].version {
		return false
	}
	list = append(slices.Clone(list), announcedVersion{version: av.Version, learnedAt: now, initial: initial})
	if len(list) > announcedMax {
		// The time of the versions before the third one then ends with that of those before the second one.
		list[2].learnedAt, list[2].initial = list[1].learnedAt, list[1].initial
		list = slices.Delete(list, 1, 2)
	}
	lv.versions[ke] = list
	return true
}

// version returns the newest version of an adapter, and the oldest one that may still be used, zero for any.
func (lv *logView) version(ke grant.Key, settleTime time.Duration, now time.Time) (newest, oldest int) {
	lv.mu.Lock()
	defer lv.mu.Unlock()
	list := lv.versions[ke]
	if len(list) == 0 {
		return 0, 0
	}
	for _, an := range list {
		if an.initial || now.Sub(an.learnedAt) >= settleTime {
			oldest = an.version
		}
	}
	return list[len(list)-1].version, oldest
}

// withRoster calls a function on the list of servers while holding the lock.
func (lv *logView) withRoster(fn func(ro *roster.Roster)) {
	lv.mu.Lock()
	defer lv.mu.Unlock()
	fn(&lv.servers)
}

// setServersListed records that a complete list of servers has been read.
func (lv *logView) setServersListed() {
	lv.mu.Lock()
	defer lv.mu.Unlock()
	lv.serversListed = true
}

// observeEpoch records the epoch that an answer of the log stated, and returns the verdict on it and the
// present epoch.
func (lv *logView) observeEpoch(epoch int64) (reader.EpochVerdict, int64) {
	lv.mu.Lock()
	defer lv.mu.Unlock()
	epochs, verdict := lv.epochs.WithAnswer(epoch)
	lv.epochs = epochs
	return verdict, epochs.Present()
}

// presentEpoch returns the highest epoch of the log that the node has seen, zero for none.
func (lv *logView) presentEpoch() int64 {
	lv.mu.Lock()
	defer lv.mu.Unlock()
	return lv.epochs.Present()
}

// ready reports whether the node has read the routes and the list of servers.
func (lv *logView) ready() bool {
	lv.mu.Lock()
	defer lv.mu.Unlock()
	return lv.serversListed && lv.table.Load() != nil
}
