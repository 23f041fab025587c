package spread

import (
	"slices"

	"github.com/zeebo/xxh3"
)

const (
	// usersPerEngine is the number of requests that use an adapter at the same time from which on
	// one more engine of usual speed in the region should load it.
	usersPerEngine = 4
	// preferredMax limits the engines of a region that load an adapter without a penalty.
	preferredMax = 12
)

// preference tells which engines load an adapter without the penalty for an extra fetch: those
// with the highest rendezvous hashes, weighted by the capacity of the engines, so that all entry nodes agree on them. For most adapters it
// is one engine of all zones and regions, so that few engines fetch the adapter. A popular adapter
// is loaded on engines of the request's own region, because sending so many requests to another
// region costs more than a further fetch, and on one more engine for each usersPerEngine requests
// that use it there, because a single engine would make them wait. Engines of a lower capacity class
// count for less, so a popular adapter that a slow engine should load gets a faster one as well.
type preference struct {
	// scores holds the hashes of the preferred engines, the highest first.
	scores [preferredMax]uint64
	// classes holds the capacity classes of the preferred engines.
	classes [preferredMax]capacityClass
	count   int
}

// preferredEngines returns the engines that should load the request's adapter. There are none if
// an engine already has the adapter and the adapter isn't popular: then every further fetch gets
// the penalty.
func preferredEngines(group []*member, rq *Request) preference {
	pr := preference{}
	if rq.Adapter == "" || !rq.Popular && slices.ContainsFunc(group, func(me *member) bool { return me.hasAdapter(rq) }) {
		return pr
	}
	limit := 1
	if rq.Popular {
		limit = preferredMax
	}
	for _, me := range group {
		if pr.qualifies(me, rq) {
			pr.add(me.score(rq), me.class, limit)
		}
	}
	if rq.Popular {
		pr.trim(min(preferredMax, 1+regionUsers(group, rq)/usersPerEngine))
	}
	return pr
}

// trim keeps the first engines that have the capacity of a number of engines of usual speed together.
func (pr *preference) trim(engines int) {
	missing := engines * fullCapacity.units()
	for ix := range pr.count {
		if missing <= 0 {
			pr.count = ix
			return
		}
		missing -= pr.classes[ix].units()
	}
}

// regionUsers returns the number of requests that use the adapter on the engines of the request's
// region.
func regionUsers(group []*member, rq *Request) int {
	users := 0
	for _, me := range group {
		if me.Region != rq.Region {
			continue
		}
		for ix := range me.resident {
			if me.resident[ix].Adapter == rq.Adapter {
				users += me.resident[ix].Users
			}
		}
	}
	return users
}

// score returns the weighted rendezvous hash of an engine for the request's adapter.
func (me *member) score(rq *Request) uint64 {
	return me.class.weighted(xxh3.HashStringSeed(rq.Adapter, me.hash))
}

// qualifies reports whether an engine may be preferred.
func (pr *preference) qualifies(me *member, rq *Request) bool {
	return !me.Leaving && (!rq.Popular || me.Region == rq.Region)
}

// add keeps a score if it is among the highest, up to a limit.
func (pr *preference) add(score uint64, class capacityClass, limit int) {
	if pr.count == limit && score <= pr.scores[limit-1] {
		return
	}
	for ix := range limit {
		if ix >= pr.count {
			pr.scores[ix], pr.classes[ix] = score, class
			pr.count++
			return
		}
		if score > pr.scores[ix] {
			pr.scores[ix], score = score, pr.scores[ix]
			pr.classes[ix], class = class, pr.classes[ix]
		}
	}
}

// includes reports whether an engine is preferred.
func (pr *preference) includes(me *member, rq *Request) bool {
	return pr.count > 0 && pr.qualifies(me, rq) && me.score(rq) >= pr.scores[pr.count-1]
}
