package quota

import "time"

// takeShare decides on a request by the node's share of the quota.
//
// A request that needs more than the share holds at most is admitted by lot when the share is full, with a chance that
// makes what is admitted meet the share on average. If the share held as much as the largest request, all nodes
// together could admit one such request each at once, many times the burst.
func (ho *Holder) takeShare(rq Request, now time.Time) Decision {
	li := ho.limit.share(rq.Entries)
	if !now.Before(ho.shareUntil) {
		ho.shareUntil = now.Add(ShareTime)
	}
	most := max(li.Burst, li.unitsIn(capacityTime))
	ho.fillShare(li, most, now)
	units := float64(rq.Units)
	charged := min(units, most)
	if ho.share >= charged {
		ho.share -= charged
		if units <= most || rq.Random < charged/units {
			return Decision{Step: Admit, Source: FromShare, Charge: Charge{Units: int64(charged), Share: true}}
		}
	}
	return Decision{Step: Refuse, Source: FromShare, Wait: spread(li.timeOf(max(units, 1)-ho.share), rq.Random)}
}

// fillShare adds what has come in since the share was last used. Nothing comes in while the keeper answers, as the keeper
// gives it out then. After such a time the share starts with what a new account starts with, but only once in a window.
func (ho *Holder) fillShare(li Limit, most float64, now time.Time) {
	from := ho.filledAt
	if ho.answeredAt.After(from) || from.IsZero() {
		from = ho.answeredAt
		if now.Sub(ho.startedAt) > Window {
			ho.share, ho.startedAt = max(ho.share, li.unitsIn(startTime)), now
		}
	}
	if !from.IsZero() {
		ho.share += li.unitsIn(now.Sub(from))
	}
	ho.share, ho.filledAt = min(ho.share, most), now
}
