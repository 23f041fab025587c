package grant

import (
	"slices"
	"time"
)

// OrderEnded processes the result of the order in flight. The result of any other order, such as
// one to an earlier engine process, is ignored.
func (en *Engine) OrderEnded(ended Order, re Result, now time.Time) []Action {
	or := en.pendingOrder
	if or == nil || *or != ended {
		return nil
	}
	en.pendingOrder = nil
	switch re {
	case Accepted:
		en.sequence = or.Sequence + 1
		en.applyOrder(or, now)
	case InEffect:
		// An unload of an idle adapter is carried out and counted before the engine answers.
		if or.Operation == UnloadAdapter {
			en.sequence = or.Sequence + 1
		} else {
			en.nextInspectAt = now
		}
		en.applyOrder(or, now)
	case Conflict, Rejected:
		delete(en.loading, or.Key)
		en.nextOrderAt = now.Add(orderRetryDelay)
		en.nextInspectAt = now
	case Lost:
		delete(en.loading, or.Key)
		en.recordLostOrder(or, now)
		en.nextOrderAt = now.Add(orderRetryDelay)
		en.nextInspectAt = now
	}
	return en.schedule(now)
}

// applyOrder updates the state for an order that the engine has accepted.
func (en *Engine) applyOrder(or *Order, now time.Time) {
	switch or.Operation {
	case LoadModel:
		en.nextModelOrderAt = now.Add(inspectInterval)
	case LoadAdapter:
		en.loads++
		en.shares.charge(en.loadingFor, adapterLoadTokens)
		pl := pendingLoad{version: or.Version, startedAt: now, inspectAt: now.Add(cachedLoadTime)}
		if !slices.Contains(en.hostCache, or.Key) {
			pl.fromStore = true
			pl.inspectAt = now.Add(storeLoadTime)
		}
		en.loading[or.Key] = pl
		en.markCached(or.Key)
	case UnloadAdapter:
		en.evictions++
		delete(en.loaded, or.Key)
	}
}

// recordLostOrder keeps an adapter load that got no answer, because the engine may still carry
// it out.
func (en *Engine) recordLostOrder(or *Order, now time.Time) {
	if or.Operation == LoadAdapter {
		en.lostOrders = append(en.lostOrders, lostOrder{Order: *or, lostAt: now})
	}
}

// obsolete reports whether a lost order can no longer be carried out: the engine has accepted a
// later one, lostOrderMax is over, or the order was for a process with another server ID. A
// restarted process with the same or an unknown server ID may still carry it out.
func (en *Engine) obsolete(lost *lostOrder, now time.Time) bool {
	forOtherRun := lost.Born != en.observation.Born && lost.Server != "" && en.currentServerID() != "" && lost.Server != en.currentServerID()
	return en.observation.Sequence > lost.Sequence || forOtherRun || now.Sub(lost.lostAt) > lostOrderMax
}

// currentServerID returns the server ID of the current engine process, or "" if it is not
// known.
func (en *Engine) currentServerID() string {
	if en.serverBorn != en.observation.Born {
		return ""
	}
	return en.serverID
}
