package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// SuspectCrashes is the number of crashes at which a request is refused.
	SuspectCrashes = 3
	// confirmTime is how long after a request has lost its server the end of the server's run still
	// counts as its crash. A crashed server is back, or known to be gone, within a few seconds.
	confirmTime = 6 * time.Second
	// suspectsMax bounds the fingerprints that are remembered.
	suspectsMax = 8192
	// pruneInterval is the least time between two searches for entries that have expired.
	pruneInterval = time.Second
)

// Run is one run of a backend server, from a start of its process to its end.
type Run struct {
	Server string
	// Born is when the run started, in Unix milliseconds.
	Born int64
}

// Loss is a request that got no complete answer because its server stopped answering.
type Loss struct {
	Fingerprint string
	// Parts are the parts of its prompt that other requests may share, unless the answer had gone on
	// for long enough that none of them can have crashed the server.
	Parts []string
	At    time.Time
}

// Crash is the end of a run with the requests that were in flight.
type Crash struct {
	Run Run
	// At is when the first of the requests was lost.
	At           time.Time
	Fingerprints []string
	// Parts are the parts of the prompts of these requests.
	Parts []string
}

// suspect is a fingerprint that was in flight at crashes.
type suspect struct {
	crashes     map[Run]bool
	lastCrashAt time.Time
}

// lostRequests are the requests that lost one run of a server.
type lostRequests struct {
	// address is where the run served.
	address string
	// losses maps fingerprints to the last loss.
	losses map[string]Loss
}

// Suspects counts the crashes at which each request was in flight, by the request's fingerprint, for
// entry nodes that learn of crashes by themselves and from each other. A request that has been
// answered since is no suspect any more. The zero value is empty.
type Suspects struct {
	suspects map[string]*suspect
	// lost holds the requests whose server may have crashed; ended holds the runs that are known to
	// have ended, with the time at which that became known.
	lost     map[Run]*lostRequests
	ended    map[Run]time.Time
	prunedAt time.Time
}

// Len returns the number of fingerprints that were in flight at a crash.
func (su *Suspects) Len() int { return len(su.suspects) }

// Crashes returns the number of crashes at which a fingerprint was in flight.
func (su *Suspects) Crashes(fingerprint string) int {
	if st := su.suspects[fingerprint]; st != nil {
		return len(st.crashes)
	}
	return 0
}

// Lost records that a request was lost with a run of a server, which served at an address. It returns the
// crash if the run is already known to have ended.
func (su *Suspects) Lost(lo Loss, run Run, address string) (Crash, bool) {
	su.prune(lo.At)
	if su.lost == nil {
		su.lost = map[Run]*lostRequests{}
	}
	lr := su.lost[run]
	if lr == nil {
		lr = &lostRequests{address: address, losses: map[string]Loss{}}
		su.lost[run] = lr
	}
	lr.losses[lo.Fingerprint] = lo
	if _, ok := su.ended[run]; !ok {
		return Crash{}, false
	}
	return su.count(run, lo.At)
}

// RunEnded records that a run of a server has ended, and returns the crash if requests were lost with
// it that have not been counted yet.
func (su *Suspects) RunEnded(run Run, now time.Time) (Crash, bool) {
	su.prune(now)
	if su.ended == nil {
		su.ended = map[Run]time.Time{}
	}
	su.ended[run] = now
	return su.count(run, now)
}

// RunStarted records that a run of a server serves at an address, which shows that earlier runs of
// the server and at the address have ended. It returns the crashes at which requests were lost. An
// empty address stands for an unknown one.
func (su *Suspects) RunStarted(run Run, address string, now time.Time) []Crash {
	su.prune(now)
	crashes := []Crash(nil)
	for other, lr := range su.lost {
		if other.Born >= run.Born || other.Server != run.Server && (address == "" || lr.address != address) {
			continue
		}
		if cr, ok := su.RunEnded(other, now); ok {
			crashes = append(crashes, cr)
		}
	}
	return crashes
}

// count counts the crash of a run for all requests that were lost with it.
func (su *Suspects) count(run Run, now time.Time) (Crash, bool) {
	lr := su.lost[run]
	if lr == nil {
		return Crash{}, false
	}
	delete(su.lost, run)
	cr := Crash{Run: run, At: now}
	for _, fingerprint := range slices.Sorted(maps.Keys(lr.losses)) {
		lo := lr.losses[fingerprint]
		if now.Sub(lo.At) > confirmTime || !su.add(fingerprint, run, now) {
			continue
		}
		cr.Fingerprints = append(cr.Fingerprints, fingerprint)
		cr.Parts = union(cr.Parts, lo.Parts)
		if lo.At.Before(cr.At) {
			cr.At = lo.At
		}
	}
	return cr, len(cr.Fingerprints) > 0
}

// Reported counts a crash that another entry node saw, and returns how many fingerprints it is new for.
func (su *Suspects) Reported(cr Crash, now time.Time) int {
	su.prune(now)
	added := 0
	if now.Sub(cr.At) > Retention {
		return added
	}
	for _, fingerprint := range cr.Fingerprints {
		if su.add(fingerprint, cr.Run, cr.At) {
			added++
		}
	}
	return added
}

// add counts a crash for a fingerprint and reports whether it was not counted before.
func (su *Suspects) add(fingerprint string, run Run, at time.Time) bool {
	if su.suspects == nil {
		su.suspects = map[string]*suspect{}
	}
	st := su.suspects[fingerprint]
	if st == nil {
		su.makeRoom()
		st = &suspect{crashes: map[Run]bool{}}
		su.suspects[fingerprint] = st
	}
	if st.crashes[run] {
		return false
	}
	st.crashes[run] = true
	if at.After(st.lastCrashAt) {
		st.lastCrashAt = at
	}
	return true
}

// makeRoom forgets the fingerprint with the fewest and oldest crashes if the table is full.
func (su *Suspects) makeRoom() {
	if len(su.suspects) < suspectsMax {
		return
	}
	least, weakest := "", (*suspect)(nil)
	for fingerprint, st := range su.suspects {
		if weakest == nil || st.weakerThan(weakest) {
			least, weakest = fingerprint, st
		}
	}
	delete(su.suspects, least)
}

// weakerThan reports whether less speaks against a fingerprint than against another one.
func (st *suspect) weakerThan(other *suspect) bool {
	if len(st.crashes) != len(other.crashes) {
		return len(st.crashes) < len(other.crashes)
	}
	return st.lastCrashAt.Before(other.lastCrashAt)
}

// Answered records that a server has answered a request completely, so that it was in flight at
// crashes by chance. It reports whether the fingerprint was a suspect. A blocked one stays blocked.
func (su *Suspects) Answered(fingerprint string) bool {
	st := su.suspects[fingerprint]
	if st == nil || st.blocked() {
		return false
	}
	delete(su.suspects, fingerprint)
	return true
}

// blocked reports whether the fingerprint was in flight at too many crashes.
func (st *suspect) blocked() bool { return len(st.crashes) >= SuspectCrashes }

// Decide returns Blocked and the time for which that holds, or Free.
func (su *Suspects) Decide(fingerprint string, now time.Time) (Verdict, time.Duration) {
	st := su.suspects[fingerprint]
	if st == nil || !st.blocked() {
		return Free, 0
	}
	remaining := Retention - now.Sub(st.lastCrashAt)
	if remaining <= 0 {
		return Free, 0
	}
	return Blocked, remaining
}

// prune forgets what is too old to count.
func (su *Suspects) prune(now time.Time) {
	if now.Sub(su.prunedAt) < pruneInterval {
		return
	}
	su.prunedAt = now
	for run, lr := range su.lost {
		for fingerprint, lo := range lr.losses {
			if now.Sub(lo.At) > confirmTime {
				delete(lr.losses, fingerprint)
			}
		}
		if len(lr.losses) == 0 {
			delete(su.lost, run)
		}
	}
	for run, at := range su.ended {
		if now.Sub(at) > confirmTime {
			delete(su.ended, run)
		}
	}
	for fingerprint, st := range su.suspects {
		if now.Sub(st.lastCrashAt) > Retention {
			delete(su.suspects, fingerprint)
		}
	}
}
