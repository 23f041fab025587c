package spread

import (
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/bambooladder/bambooladder/core/grant"
)

// Hold is an adapter on an engine or on its way there.
type Hold struct {
	Adapter string
	Version int
	Ready   bool
	// Users counts the requests that run on it or wait for it.
	Users int
}

// Load is an engine's work as its agent last told.
type Load struct {
	grant.Load
	// At is when the agent's message arrived.
	At time.Time
}

// Server is a backend server that may be chosen.
type Server struct {
	ID      string
	Service string
	Zone    string
	Region  string
	// Born identifies the server's run: its start in Unix milliseconds.
	Born int64
	// Places is the number of requests that run together.
	Places  int
	Leaving bool
	// Engine is true for a model engine.
	Engine bool
	// Model and Holds of the last record serve while the agent is silent.
	Model string
	Holds []Hold
}

// member is a backend server with the entry node's own experience of it.
type member struct {
	Server
	hash uint64
	load Load
	// told is true while an agent tells of the engine.
	told  bool
	holds []Hold
	// recent holds the adapters that the engine's host still has at hand.
	recent recent
	// sent counts this node's requests under way.
	sent int
	// added is the prompt time reserved since the agent's last message.
	added time.Duration
	// heard is when anything last came from the server, its agent or its answers.
	heard time.Time
	// quietTill is until when a server rests that was found silent, unless it is heard.
	quietTill time.Time
	// pace is the measured time to the first byte as a multiple of the expected one.
	pace float64
	// faults is the decayed share of failures.
	faults    float64
	failures  int
	mutedTill time.Time
}

// Fleet is what an entry node believes of the backend servers; its zero value is empty.
type Fleet struct {
	members map[string]*member
	// groups holds the servers of each service in the order of their identities.
	groups map[string][]*member
}

// Put adds a server or replaces what its record says.
func (fl *Fleet) Put(se Server) {
	if fl.members == nil {
		fl.members = map[string]*member{}
		fl.groups = map[string][]*member{}
	}
	me := fl.members[se.ID]
	if me != nil && me.Service != se.Service {
		fl.Remove(se.ID)
		me = nil
	}
	if me == nil {
		me = &member{hash: xxh3.HashString(se.ID), pace: 1}
		fl.members[se.ID] = me
		group := fl.groups[se.Service]
		ix, _ := slices.BinarySearchFunc(group, se.ID, func(el *member, id string) int { return strings.Compare(el.ID, id) })
		fl.groups[se.Service] = slices.Insert(group, ix, me)
	}
	me.Server = se
}

// Remove forgets a server.
func (fl *Fleet) Remove(id string) {
	me := fl.members[id]
	if me == nil {
		return
	}
	delete(fl.members, id)
	fl.groups[me.Service] = slices.DeleteFunc(fl.groups[me.Service], func(other *member) bool { return other == me })
}

// Keep removes all servers that are not named.
func (fl *Fleet) Keep(ids map[string]bool) {
	for id := range fl.members {
		if !ids[id] {
			fl.Remove(id)
		}
	}
}

// Server returns what is known of a server.
func (fl *Fleet) Server(id string) (Server, bool) {
	if me := fl.members[id]; me != nil {
		return me.Server, true
	}
	return Server{}, false
}

// Told takes an agent's message on its engine; holds is nil where it tells only the load.
func (fl *Fleet) Told(id string, lo Load, holds []Hold) {
	me := fl.members[id]
	if me == nil {
		return
	}
	if lo.Born != me.load.Born {
		// Another run of the engine holds nothing of what the last one held.
		me.recent, me.holds = recent{}, nil
	}
	// An agent that leaves gives no grants, but its engine goes on.
	me.load, me.told, me.added = lo, !lo.Leaving, 0
	me.hear(lo.At)
	if holds == nil {
		return
	}
	me.holds = holds
	for ix := range holds {
		if holds[ix].Ready {
			me.recent.add(holds[ix].Adapter, holds[ix].Version)
		}
	}
}

// Untold records that the agent cannot be reached; what it last told serves on.
func (fl *Fleet) Untold(id string) {
	if me := fl.members[id]; me != nil {
		me.told = false
	}
}

// Retold records that an agent that was silent answers again.
func (fl *Fleet) Retold(id string) {
	if me := fl.members[id]; me != nil && !me.load.At.IsZero() {
		me.told = true
	}
}

// Sent counts a request that goes to a server and the prompt tokens it adds.
func (fl *Fleet) Sent(id string, promptTokens int, now time.Time) {
	if me := fl.members[id]; me != nil {
		if me.sent == 0 {
			// The wait for a first sign of life begins now.
			me.heard = now
		}
		me.sent++
		me.added += grant.ReadTime(promptTokens)
	}
}

// Heard records a sign of life of a server.
func (fl *Fleet) Heard(id string, now time.Time) {
	if me := fl.members[id]; me != nil {
		me.hear(now)
	}
}

// hear takes a sign of life.
func (me *member) hear(now time.Time) {
	me.heard = now
	me.quietTill = time.Time{}
}

// Unanswered records that the agent beside a server has not answered what was sent to it
// at a time. Where nothing else came from there since, the host may be frozen or cut off,
// and with it the server.
func (fl *Fleet) Unanswered(id string, since, now time.Time) {
	me := fl.members[id]
	if me == nil {
		return
	}
	me.told = false
	if !me.heard.After(since) {
		me.quietTill = now.Add(quietRest)
	}
}

// Abandoned records that a request was taken from a server without a sign of life. The
// server rests, as its silence shows no longer once nothing is under way there.
func (fl *Fleet) Abandoned(id string, now time.Time) {
	if me := fl.members[id]; me != nil {
		me.quietTill = now.Add(quietRest)
	}
}

// Silent tells whether a server at work has given no sign of life for too long, as one
// whose host is frozen or cut off.
func (fl *Fleet) Silent(id string, now time.Time) bool {
	me := fl.members[id]
	return me != nil && me.silent(now)
}

// silent tells whether the server has been at work for too long without a sign of life.
func (me *member) silent(now time.Time) bool {
	return me.Engine && me.sent > 0 && now.Sub(me.heard) > silenceMax
}

// Lacks records that an engine does not hold an adapter that it was believed to hold.
func (fl *Fleet) Lacks(id, adapter string) {
	me := fl.members[id]
	if me == nil {
		return
	}
	other := func(ho Hold) bool { return ho.Adapter == adapter }
	me.holds = slices.DeleteFunc(slices.Clone(me.holds), other)
	me.Holds = slices.DeleteFunc(slices.Clone(me.Holds), other)
}

// Done counts a request off.
func (fl *Fleet) Done(id string) {
	if me := fl.members[id]; me != nil && me.sent > 0 {
		me.sent--
	}
}
