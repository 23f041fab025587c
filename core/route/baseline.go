package route

import "time"

// chooseBaseline chooses a runner for an adapter by a policy that uses a single criterion. It
// doesn't look at the runners' adapters, so its reason is always MustLoad, and a runner can be
// listed as a candidate more than once.
func (fl *Fleet) chooseBaseline(rq Request, now time.Time) (Choice, bool) {
	ch := Choice{}
	if fl.Policy == HashedPolicy {
		if me := fl.firstOnRing(rq, now); me != nil {
			ch.addCandidate(me, MustLoad, 0)
		}
		return ch, ch.CandidateCount > 0
	}
	fl.baselineChoices++
	for ix, po := range fl.rings[rq.Model] {
		if !po.me.eligible(rq, now) {
			continue
		}
		cost := float64(po.me.Load())
		if fl.Policy == RandomPolicy {
			cost = float64(mixBits(fl.baselineChoices*hashStep+uint64(ix)) >> 32)
		}
		ch.addCandidate(po.me, MustLoad, cost)
	}
	return ch, ch.CandidateCount > 0
}

// firstOnRing returns the first eligible runner on the hash ring for an adapter, whether or not it
// has the adapter.
func (fl *Fleet) firstOnRing(rq Request, now time.Time) *member {
	ring := fl.rings[rq.Model]
	start := firstPointFrom(ring, mixBits(adapterHash(rq.Adapter)))
	for step := range ring {
		if me := ring[(start+step)%len(ring)].me; me.eligible(rq, now) {
			return me
		}
	}
	return nil
}
