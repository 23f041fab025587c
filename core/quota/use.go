package quota

import "time"

// countUse counts admitted units.
func (ho *Holder) countUse(units int64, now time.Time) {
	ho.turnSlot(now)
	ho.used += units
}

// turnSlot begins a new slot of the count of used units if one is due.
func (ho *Holder) turnSlot(now time.Time) {
	switch age := now.Sub(ho.slotAt); {
	case age >= 2*useTime:
		ho.used, ho.usedBefore, ho.slotAt = 0, 0, now
	case age >= useTime:
		ho.used, ho.usedBefore, ho.slotAt = 0, ho.used, ho.slotAt.Add(useTime)
	}
}

// recentUse returns about how many units were admitted in the last useTime.
func (ho *Holder) recentUse(now time.Time) int64 {
	ho.turnSlot(now)
	left := 1 - min(1, now.Sub(ho.slotAt).Seconds()/useTime.Seconds())
	return ho.used + int64(left*float64(ho.usedBefore))
}
