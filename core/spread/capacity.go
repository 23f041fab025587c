package spread

import "math/bits"

const (
	// halfBound and quarterBound are the shares of the usual prefill rate below which an engine has half and a
	// quarter of the usual capacity: the lowest share that still counts as usual speed, and the geometric mean
	// of a half and a quarter. classMargin is by how much the rate must be beyond a bound to change the class.
	halfBound    = 0.7
	quarterBound = 0.35
	classMargin  = 0.1
)

// capacityClass says how many adapters and users an engine should have, compared with one of usual speed: each
// class has half the capacity of the one before. It answers a load of unequal engines, where the slow ones got as
// many adapters as the others. The classes are coarse, with a margin for a change, so that entry nodes agree on
// where an adapter is loaded and adapters don't move with each measurement.
type capacityClass int

const (
	fullCapacity capacityClass = iota
	halfCapacity
	quarterCapacity
)

// units returns the capacity of an engine of the class, in quarters of that of an engine of usual speed.
func (cc capacityClass) units() int { return 1 << (quarterCapacity - cc) }

// next returns the class after a report of an engine's prefill rate, zero if the engine reports none.
func (cc capacityClass) next(rate int) capacityClass {
	share := float64(rate) / usualPrefillRate
	switch {
	case rate <= 0:
		return fullCapacity
	case share >= cc.boundary(halfCapacity, halfBound):
		return fullCapacity
	case share >= cc.boundary(quarterCapacity, quarterBound):
		return halfCapacity
	}
	return quarterCapacity
}

// boundary returns the share of the usual rate from which on an engine of the present class isn't in a slower
// class any more, or not yet.
func (cc capacityClass) boundary(slower capacityClass, bound float64) float64 {
	if cc >= slower {
		return bound * (1 + classMargin)
	}
	return bound * (1 - classMargin)
}

// weighted returns the score of an engine of the class in weighted rendezvous hashing. The engine with the highest
// power 1/weight of its hash, taken as a fraction of one, is first with a probability in proportion to its weight.
// The weights are powers of two, so the powers are squares; a hash of weight one stays as it is.
func (cc capacityClass) weighted(hash uint64) uint64 {
	for range cc {
		hash, _ = bits.Mul64(hash, hash)
	}
	return hash
}
