package spread

import "time"

// SeenAlive records that a server or its agent has sent something.
func (fl *Fleet) SeenAlive(id string, now time.Time) {
	if me := fl.members[id]; me != nil {
		me.markSeen(now)
	}
}

// markSeen records a sign of life and ends the backoff for silence.
func (me *member) markSeen(now time.Time) {
	me.lastSeen = now
	me.silenceBackoffUntil = time.Time{}
}

// AgentUnanswered records that the agent of a server has not answered a message sent at the time
// since. If the server has sent nothing after that either, its host may be frozen or
// disconnected, and the server is avoided for a while.
func (fl *Fleet) AgentUnanswered(id string, since, now time.Time) {
	me := fl.members[id]
	if me == nil {
		return
	}
	me.agentAvailable = false
	if !me.lastSeen.After(since) {
		me.silenceBackoffUntil = now.Add(silenceBackoff)
	}
}

// Abandoned records that a request was withdrawn from a silent server. The server is avoided
// for a while, because silence can't be detected there once no request is in flight.
func (fl *Fleet) Abandoned(id string, now time.Time) {
	if me := fl.members[id]; me != nil {
		me.silenceBackoffUntil = now.Add(silenceBackoff)
	}
}

// TakeQuiet reports whether an engine with requests in flight has sent nothing for so long that it should be asked for a sign of
// life, and records that it is asked now. Neither its agent's heartbeats nor the events of a slow stream come more often than
// silenceMax.
func (fl *Fleet) TakeQuiet(id string, now time.Time) bool {
	me := fl.members[id]
	if me == nil || !me.Engine || me.inFlight == 0 || now.Sub(me.lastSeen) < quietMax || now.Sub(me.askedAt) < quietMax {
		return false
	}
	me.askedAt = now
	return true
}

// Silent reports whether a server with requests in flight has sent nothing for too long, as
// when its host is frozen or disconnected.
func (fl *Fleet) Silent(id string, now time.Time) bool {
	me := fl.members[id]
	return me != nil && me.silent(now)
}

// silent reports whether an engine with requests in flight has sent nothing for too long.
func (me *member) silent(now time.Time) bool {
	return me.Engine && me.inFlight > 0 && now.Sub(me.lastSeen) > silenceMax
}
