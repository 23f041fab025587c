package member

import (
	"slices"
	"strings"
	"time"
)

const (
	redialFirst = 100 * time.Millisecond
	redialMax   = 2 * time.Second
)

// Host is one entry of the platform's list.
type Host struct {
	Name    string
	Role    string
	Address string
	Zone    string
	Region  string
	Leaving bool
}

// known is a host with the state of its connection.
type known struct {
	Host
	listed    bool
	connected bool
	dialing   bool
	failures  int
	dialAt    time.Time
}

// Members is the view of one entry node; its zero value knows no host.
type Members struct {
	hosts map[string]*known
}

// Listed takes the platform's list, already narrowed to the hosts the node connects to.
func (ms *Members) Listed(list []Host, now time.Time) {
	if ms.hosts == nil {
		ms.hosts = map[string]*known{}
	}
	for _, kn := range ms.hosts {
		kn.listed = false
	}
	for _, ho := range list {
		kn := ms.hosts[ho.Name]
		if kn == nil {
			kn = &known{dialAt: now}
			ms.hosts[ho.Name] = kn
		}
		if kn.Address != ho.Address {
			kn.failures = 0
			kn.dialAt = now
		}
		kn.Host = ho
		kn.listed = true
	}
	for name, kn := range ms.hosts {
		if !kn.listed && !kn.connected && !kn.dialing {
			delete(ms.hosts, name)
		}
	}
}

// Due marks and returns the hosts to dial now, in the order of their names.
func (ms *Members) Due(now time.Time) []Host {
	due := make([]Host, 0)
	for _, kn := range ms.hosts {
		if kn.listed && !kn.connected && !kn.dialing && !now.Before(kn.dialAt) {
			kn.dialing = true
			due = append(due, kn.Host)
		}
	}
	slices.SortFunc(due, func(aa, bb Host) int { return strings.Compare(aa.Name, bb.Name) })
	return due
}

// Connected records that the connection to a host works.
func (ms *Members) Connected(name string) {
	if kn := ms.hosts[name]; kn != nil {
		kn.connected = true
		kn.dialing = false
		kn.failures = 0
	}
}

// Lost records a failed dial or a lost connection and sets the time of the next dial, scaled by a random number from 0 to 1.
func (ms *Members) Lost(name string, now time.Time, random float64) {
	kn := ms.hosts[name]
	if kn == nil {
		return
	}
	wasConnected := kn.connected
	kn.connected = false
	kn.dialing = false
	if wasConnected {
		kn.dialAt = now
		return
	}
	delay := min(redialMax, redialFirst<<min(kn.failures, 5))
	kn.failures++
	kn.dialAt = now.Add(time.Duration(float64(delay) * (1 + random) / 2))
}

// Leaving tells whether the list says that a host leaves.
func (ms *Members) Leaving(name string) bool {
	kn := ms.hosts[name]
	return kn != nil && kn.Leaving
}
