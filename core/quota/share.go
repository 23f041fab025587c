package quota

import "time"

const (
	// shareUnits is the number of units that the shares of all nodes hold at least together. With less, a share is full
	// before the next request comes to its node. It is a part of the 17,000 units by which a window may exceed the limit.
	shareUnits = 8000
	// shareSlowTime is the time in which a share that comes into use fills at sharePart of its rate: for 3 s
	// (link.MaxSilence) a keeper does not know that a node is cut off, and gives others the whole quota.
	shareSlowTime = 3 * time.Second
	sharePart     = 0.5
)

// takeShare decides on a request by the node's share of the quota.
//
// A request that needs more than the share holds is admitted by lot, with a chance that makes what is admitted meet the
// share on average; the share is charged what it holds. If the share could save up for the largest request, all nodes
// together could admit one such request each at once, many times the burst.
func (ho *Holder) takeShare(rq Request, now time.Time) Decision {
	li := ho.limit.share(rq.Entries)
	ho.fillShare(li, max(li.Burst, li.unitsIn(capacityTime), shareUnits/float64(max(1, rq.Entries))), now)
	units := float64(rq.Units)
	charged := min(units, ho.share)
	ho.share -= charged
	if units <= charged || rq.Random*units < charged {
		return Decision{Step: Admit, Source: FromShare, Charge: Charge{Units: int64(charged), Share: true}}
	}
	return Decision{Step: Refuse, Source: FromShare, Wait: spread(li.timeOf(units), rq.Random)}
}

// fillShare adds what has come in since the share was last used. Nothing comes in while the keeper answers, as the keeper
// gives it out then. After such a time the share starts with what a new account starts with, but only once in a window.
func (ho *Holder) fillShare(li Limit, most float64, now time.Time) {
	if ho.filledAt.IsZero() || ho.answeredAt.After(ho.filledAt) {
		if now.Sub(ho.startedAt) > Window {
			ho.share = max(ho.share, li.unitsIn(startTime))
		}
		ho.startedAt, ho.filledAt = now, now
	}
	ho.share += li.unitsSlowed(ho.filledAt, now, ho.startedAt.Add(shareSlowTime), sharePart)
	ho.share, ho.filledAt = min(ho.share, most), now
}
