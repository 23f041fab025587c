package route

import "time"

// baseline chooses a runner for an adapter by a policy that looks at one thing only.
func (fl *Fleet) baseline(rq Request, now time.Time) (Choice, bool) {
	ch := Choice{}
	if fl.Policy == HashedPolicy {
		if me := fl.preferredOf(rq, now); me != nil {
			ch.consider(me, MustLoad, 0)
		}
		return ch, ch.Count > 0
	}
	fl.turn++
	for ix, po := range fl.rings[rq.Model] {
		if !po.me.eligible(rq, now) {
			continue
		}
		cost := float64(po.me.Load())
		if fl.Policy == RandomPolicy {
			cost = float64(mix(fl.turn*probeStep+uint64(ix)) >> 32)
		}
		ch.consider(po.me, MustLoad, cost)
	}
	return ch, ch.Count > 0
}

// preferredOf returns the first runner on the ring for an adapter, whether or not it holds it.
func (fl *Fleet) preferredOf(rq Request, now time.Time) *member {
	ring := fl.rings[rq.Model]
	start := firstFrom(ring, mix(adapterHash(rq.Adapter)))
	for step := range ring {
		if me := ring[(start+step)%len(ring)].me; me.eligible(rq, now) {
			return me
		}
	}
	return nil
}
