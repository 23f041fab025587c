package member

import (
	"slices"
	"strings"
	"time"
)

const (
	// redialDelayFirst is the delay after the first failed dial; it doubles with each further one
	// up to redialDelayMax.
	redialDelayFirst = 100 * time.Millisecond
	redialDelayMax   = 2 * time.Second
)

// Host is an entry of the platform's host list.
type Host struct {
	Name    string
	Role    string
	Address string
	Zone    string
	Region  string
	Leaving bool
}

// hostState is a host with the state of its connection.
type hostState struct {
	Host
	listed      bool
	connected   bool
	dialing     bool
	failedDials int
	nextDial    time.Time
}

// Members is an entry node's view of the hosts that it connects to, unlike the members of
// core/spread and core/route, which are backend servers; its zero value is empty.
type Members struct {
	hosts map[string]*hostState
}

// ApplyList applies the platform's list, reduced to the hosts that the node should connect to.
// Hosts that are no longer listed are removed, those with a connection or a dial in flight by the
// first list after it has ended.
func (ms *Members) ApplyList(list []Host, now time.Time) {
	if ms.hosts == nil {
		ms.hosts = map[string]*hostState{}
	}
	for _, hs := range ms.hosts {
		hs.listed = false
	}
	for _, ho := range list {
		hs := ms.hosts[ho.Name]
		if hs == nil {
			hs = &hostState{nextDial: now}
			ms.hosts[ho.Name] = hs
		}
		if hs.Address != ho.Address {
			hs.failedDials = 0
			hs.nextDial = now
		}
		hs.Host = ho
		hs.listed = true
	}
	for name, hs := range ms.hosts {
		if !hs.listed && !hs.connected && !hs.dialing {
			delete(ms.hosts, name)
		}
	}
}

// TakeDue returns the hosts to dial now, sorted by name, and marks them as being dialed.
func (ms *Members) TakeDue(now time.Time) []Host {
	due := make([]Host, 0)
	for _, hs := range ms.hosts {
		if hs.listed && !hs.connected && !hs.dialing && !now.Before(hs.nextDial) {
			hs.dialing = true
			due = append(due, hs.Host)
		}
	}
	slices.SortFunc(due, func(aa, bb Host) int { return strings.Compare(aa.Name, bb.Name) })
	return due
}

// Connected records that the connection to a host is established.
func (ms *Members) Connected(name string) {
	if hs := ms.hosts[name]; hs != nil {
		hs.connected = true
		hs.dialing = false
		hs.failedDials = 0
	}
}

// Disconnected records a failed dial or a lost connection and sets the time of the next dial. After a
// lost connection that is now. After a failed dial it follows a delay that doubles with each
// failure, of which random, from 0 to 1, selects between half and all as jitter.
func (ms *Members) Disconnected(name string, now time.Time, random float64) {
	hs := ms.hosts[name]
	if hs == nil {
		return
	}
	wasConnected := hs.connected
	hs.connected = false
	hs.dialing = false
	if wasConnected {
		hs.nextDial = now
		return
	}
	delay := min(redialDelayMax, redialDelayFirst<<min(hs.failedDials, 5))
	hs.failedDials++
	hs.nextDial = now.Add(time.Duration(float64(delay) * (1 + random) / 2))
}

// Leaving reports whether a host was marked as leaving when the platform last listed it.
func (ms *Members) Leaving(name string) bool {
	hs := ms.hosts[name]
	return hs != nil && hs.Leaving
}
