package roster

import (
	"slices"
	"strings"
	"time"
)

// Adapter is an adapter version that an engine has loaded.
type Adapter struct {
	Name    string
	Version int
}

// Server is the state that a backend server last published about itself.
type Server struct {
	ID      string
	Service string
	// Address is IP:port.
	Address string
	Zone    string
	// Software is the version of the server's software, empty if the record does not state it.
	Software string
	// Places is the number of requests that the server runs at the same time.
	Places int
	// Leaving is true while the server drains before it stops.
	Leaving bool
	// Born is the start time of the server process in Unix milliseconds, which identifies the
	// process. It is zero if the server does not publish it.
	Born int64
	// Model is the base model of an engine, empty if it has none.
	Model    string
	Adapters []Adapter
}

// Position is where a record stands in the log. In each epoch, the log gives out all offsets again.
type Position struct {
	Epoch  int64
	Offset int64
}

// Before reports whether a position is older than another one.
func (po Position) Before(other Position) bool {
	return po.Epoch < other.Epoch || po.Epoch == other.Epoch && po.Offset < other.Offset
}

// trackedServer is a server with the position of its record.
type trackedServer struct {
	Server
	position Position
	// missingSince is when the record was found to be gone, zero while it exists.
	missingSince time.Time
	// unreadableSince is when another writer's record was found in its place, zero if none was.
	unreadableSince time.Time
}

// Roster is the set of backend servers that one entry node knows. The zero value is empty.
type Roster struct {
	servers map[string]*trackedServer
	// removals holds the removals by server ID, so that an older record does not add a removed server
	// again.
	removals map[string]removal
	// copyEnd is the end of the older copy from which the log last came back, zero if it did not.
	copyEnd Position
	// logUnreadable is true while the log cannot be read.
	logUnreadable bool
	// logBackAt is when the log could be read again after the last outage, zero if there
	// was none.
	logBackAt time.Time
}

// Put stores the record of a server that was written at the given position. It returns false and
// changes nothing if a newer record or removal of the server is known. A server that was leaving
// stays leaving until its Born changes.
func (ro *Roster) Put(se Server, at Position) bool {
	if ro.servers == nil {
		ro.servers = map[string]*trackedServer{}
	}
	ts := ro.servers[se.ID]
	if at.Before(ro.removals[se.ID].position) || ts != nil && at.Before(ts.position) || ro.undoes(&se, at) {
		return false
	}
	if re, ok := ro.removals[se.ID]; ok && re.leaving && re.born == se.Born || ts != nil && ts.Born == se.Born && ts.Leaving {
		// A run that has announced its drain never becomes ready again.
		se.Leaving = true
	}
	ro.servers[se.ID] = &trackedServer{Server: se, position: at}
	delete(ro.removals, se.ID)
	return true
}

// undoes reports whether a record from before the log came back from an older copy contradicts what
// was known before that: the server's run has been removed, or a later run has started.
func (ro *Roster) undoes(se *Server, at Position) bool {
	if !at.Before(ro.copyEnd) {
		return false
	}
	if re, ok := ro.removals[se.ID]; ok {
		return re.born == 0 || se.Born <= re.born
	}
	ts := ro.servers[se.ID]
	return ts != nil && (se.Born < ts.Born || !ts.missingSince.IsZero())
}

// MarkLeaving records that the run of a server that started at born has said by itself that it is
// leaving, and reports whether that is news. What a record says of this run does not change it.
func (ro *Roster) MarkLeaving(id string, born int64) bool {
	ts := ro.servers[id]
	if ts == nil || ts.Leaving || ts.Born > born {
		return false
	}
	marked := *ts
	marked.Leaving = true
	ro.servers[id] = &marked
	return true
}

// Epoch returns the latest epoch of the servers' records, zero if there are none.
func (ro *Roster) Epoch() int64 {
	latest := int64(0)
	for _, ts := range ro.servers {
		latest = max(latest, ts.position.Epoch)
	}
	return latest
}

// place is where a service runs, and what it serves there.
type place struct{ service, address, zone, model string }

// placeOf returns the place of a server.
func placeOf(se *Server) place { return place{se.Service, se.Address, se.Zone, se.Model} }

// Servers returns the servers of the services that are offered, sorted by ID, without those that records of others show to
// be gone while their own have not expired yet. The function reported tells which servers run as those beside them report:
// they are never left out, and others of their service at their addresses are. Otherwise a server is left out if
// another one of its service at its address started later and takes all requests that it would: if another writer has left
// that record, the answer to the first request shows it. A record that takes fewer would hide a living server for good.
func (ro *Roster) Servers(offered func(service string) bool, reported func(se *Server) bool) []Server {
	newest, running := ro.newestByPlace(), ro.runningEndpoints(reported)
	list := make([]Server, 0, len(ro.servers))
	for _, id := range ro.ids() {
		se := &ro.servers[id].Server
		hidden := se.Born != 0 && se.Born < newest[placeOf(se)]
		if running[endpoint{se.Service, se.Address}] {
			hidden = !reported(se)
		}
		if offered(se.Service) && !hidden {
			list = append(list, *se)
		}
	}
	return list
}

// newestByPlace returns the latest start of a server at each place, of those that take requests.
func (ro *Roster) newestByPlace() map[place]int64 {
	newest := map[place]int64{}
	for _, ts := range ro.servers {
		if pl := placeOf(&ts.Server); !ts.Leaving {
			newest[pl] = max(newest[pl], ts.Born)
		}
	}
	return newest
}

// endpoint is the address of a service.
type endpoint struct{ service, address string }

// runningEndpoints returns the endpoints of the servers that are reported to run.
func (ro *Roster) runningEndpoints(reported func(se *Server) bool) map[endpoint]bool {
	running := map[endpoint]bool{}
	for _, ts := range ro.servers {
		if reported(&ts.Server) {
			running[endpoint{ts.Service, ts.Address}] = true
		}
	}
	return running
}

// Record is a server with the position of its record.
type Record struct {
	Server Server
	Epoch  int64
	Offset int64
}

// Records returns all servers with the positions of their records, sorted by ID. An entry node that starts
// while the log is unreadable gets them from a peer.
func (ro *Roster) Records() []Record {
	list := make([]Record, 0, len(ro.servers))
	for _, id := range ro.ids() {
		ts := ro.servers[id]
		list = append(list, Record{Server: ts.Server, Epoch: ts.position.Epoch, Offset: ts.position.Offset})
	}
	return list
}

// Len returns the number of servers.
func (ro *Roster) Len() int { return len(ro.servers) }

// ids returns the sorted IDs of all servers.
func (ro *Roster) ids() []string {
	ids := make([]string, 0, len(ro.servers))
	for id := range ro.servers {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, strings.Compare)
	return ids
}
