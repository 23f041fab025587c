package spread

import "time"

// removedMax is the number of removed servers whose demands are kept.
const removedMax = 1024

// demands is what a run of a server has asked for in its answers.
type demands struct {
	// born is the start time of the run in Unix milliseconds, zero if it is not known.
	born  int64
	limit limit
	// pausedUntil is the end of the time in which the server wants no requests from this node.
	pausedUntil time.Time
}

// ofRun returns the demands of a run of the server: a run that is known to be another one has asked for nothing.
func (de demands) ofRun(born int64) demands {
	if de.born != 0 && born != 0 && de.born != born {
		return demands{born: born}
	}
	de.born = max(de.born, born)
	return de
}

// none reports whether nothing was asked for.
func (de demands) none() bool { return de.pausedUntil.IsZero() && !de.limit.active() }

// keepDemands keeps what a server that is removed has asked for: its record may only have lapsed. Beyond
// removedMax, the one whose pause ends first is forgotten.
func (fl *Fleet) keepDemands(id string, de demands) {
	if de.none() {
		return
	}
	if fl.removed == nil {
		fl.removed = map[string]demands{}
	}
	fl.removed[id] = de
	if len(fl.removed) <= removedMax {
		return
	}
	first := id
	for other, de := range fl.removed {
		if de.pausedUntil.Before(fl.removed[first].pausedUntil) {
			first = other
		}
	}
	delete(fl.removed, first)
}
