package grant

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	replayStep = 10 * time.Millisecond
	// replayTokenTime is the time between two output tokens of a stream of the replayed engines.
	replayTokenTime = 8 * time.Millisecond
)

// replayEngine is an engine that prefills prompts one after the other and then decodes all streams together.
type replayEngine struct {
	en       *Engine
	born     int64
	sequence int64
	memory   int
	freeAt   time.Time
	downTill time.Time
	loaded   map[string]int
	loading  map[string]time.Time
	runs     map[string]*replayRun
	inspect  bool
}

// replayRun is a granted request on an engine.
type replayRun struct {
	startedAt, endsAt time.Time
	started           bool
}

// replayOrganisation is the load of one organisation.
type replayOrganisation struct {
	name string
	// perSecond is the number of requests that it sends in a second.
	perSecond      float64
	urgency        int
	prompt, output int
	adapters       []string
	goal           time.Duration
}

// replaySent is a request of the replay.
type replaySent struct {
	organisation int
	tokens       int
	at           time.Time
	grantedAt    time.Time
	refusedAt    time.Time
	reason       string
	deadline     time.Time
	goalAt       time.Time
	// expected is the wait that was expected when the request arrived.
	expected time.Duration
}

// replay sends the load of organisations to the agents of engines. If nameless is true, requests carry no organisation
// and no goal, as before queues were fair.
type replay struct {
	t             *testing.T
	rng           *rand.Rand
	now           time.Time
	engines       []*replayEngine
	organisations []replayOrganisation
	nameless      bool
	// noGoals leaves out the goals of requests, so that none is refused before its deadline; estimates records the wait
	// that is expected for each.
	noGoals, estimates bool
	sent               map[string]*replaySent
	attempts           []string
	// retries is true if refused callers send again after the time that they were told; resends holds when.
	retries bool
	resends []replayResend
}

// replayResend is a refused request that is sent again.
type replayResend struct {
	at           time.Time
	organisation int
}

func newReplay(t *testing.T, engines, memory, slots int, organisations []replayOrganisation) *replay {
	rp := &replay{t: t, rng: rand.New(rand.NewPCG(7, 2)), now: testStart, organisations: organisations, sent: map[string]*replaySent{}}
	for range engines {
		re := &replayEngine{en: New(rp.now), born: 1, memory: memory, loaded: map[string]int{}, loading: map[string]time.Time{}, runs: map[string]*replayRun{}}
		rp.engines = append(rp.engines, re)
		rp.act(re, re.en.Prepare(Assignment{Model: testModel, Slots: slots, Server: "s", Born: 1}, rp.now))
		re.inspect = true
	}
	return rp
}

// act carries out the actions of an agent.
func (rp *replay) act(re *replayEngine, actions []Action) {
	for _, ac := range actions {
		switch {
		case ac.Grant != nil:
			rp.grant(re, ac.Grant.Attempt)
		case ac.Refuse != nil:
			rs := rp.sent[ac.Refuse.Attempt]
			rs.refusedAt, rs.reason = rp.now, ac.Refuse.Reason
			if rp.retries {
				rp.resends = append(rp.resends, replayResend{at: rp.now.Add(ac.Refuse.RetryAfter), organisation: rs.organisation})
			}
		case ac.Order != nil:
			rp.order(re, *ac.Order)
		case ac.Inspect != nil:
			re.inspect = true
		}
	}
}

// grant runs a request on an engine.
func (rp *replay) grant(re *replayEngine, attempt string) {
	rs := rp.sent[attempt]
	rs.grantedAt = rp.now
	or := &rp.organisations[rs.organisation]
	re.freeAt = later(re.freeAt, rp.now).Add(PrefillTime(or.prompt))
	re.runs[attempt] = &replayRun{startedAt: re.freeAt, endsAt: re.freeAt.Add(time.Duration(or.output) * replayTokenTime)}
}

// order accepts an order and begins the load.
func (rp *replay) order(re *replayEngine, or Order) {
	re.sequence++
	result := Accepted
	if or.Operation == UnloadAdapter {
		delete(re.loaded, or.Key.Adapter)
		result = InEffect
	} else {
		re.loading[or.Key.Adapter] = rp.now.Add(storeLoadTime)
	}
	rp.act(re, re.en.OrderEnded(or, result, rp.now))
}

// report answers an inspection.
func (rp *replay) report(re *replayEngine) {
	ob := Observation{
		Born: re.born, Sequence: re.sequence, MemoryTotal: re.memory, Coming: map[Key]int{}, Models: []Model{{Name: testModel, Adapters: map[string]int{}}},
	}
	for adapter, doneAt := range re.loading {
		if !rp.now.Before(doneAt) {
			re.loaded[adapter] = 1
			delete(re.loading, adapter)
			continue
		}
		ob.Coming[Key{Model: testModel, Adapter: adapter}] = 1
	}
	for adapter := range re.loaded {
		ob.Models[0].Adapters[adapter] = 1
	}
	rp.act(re, re.en.InspectionDone(ob, rp.now))
}

// crash ends all runs of an engine, which is back after some time.
func (rp *replay) crash(re *replayEngine, down time.Duration) {
	re.born++
	re.sequence = 0
	re.downTill = rp.now.Add(down)
	clear(re.loaded)
	clear(re.loading)
	for _, attempt := range sortedKeys(re.runs) {
		delete(re.runs, attempt)
		rp.act(re, re.en.Release(attempt, 0, rp.now))
	}
	rp.act(re, re.en.InspectionFailed(rp.now))
}

// run replays some time.
func (rp *replay) run(took time.Duration, each func(elapsed time.Duration)) {
	start := rp.now
	for rp.now.Sub(start) < took {
		rp.now = rp.now.Add(replayStep)
		if each != nil {
			each(rp.now.Sub(start))
		}
		for _, re := range rp.engines {
			rp.advance(re)
		}
		due := rp.resends
		rp.resends = nil
		for _, resend := range due {
			if resend.at.After(rp.now) {
				rp.resends = append(rp.resends, resend)
				continue
			}
			rp.send(resend.organisation)
		}
		for ix := range rp.organisations {
			for expected := rp.organisations[ix].perSecond * replayStep.Seconds(); expected > 0; expected-- {
				if rp.rng.Float64() < expected {
					rp.send(ix)
				}
			}
		}
	}
}

// advance ends the runs and the inspection of an engine that are due.
func (rp *replay) advance(re *replayEngine) {
	for _, attempt := range sortedKeys(re.runs) {
		run := re.runs[attempt]
		if !run.started && !rp.now.Before(run.startedAt) {
			run.started = true
			rp.act(re, re.en.Started(attempt, rp.now))
		}
		if !rp.now.Before(run.endsAt) {
			delete(re.runs, attempt)
			rp.act(re, re.en.Release(attempt, 0, rp.now))
		}
	}
	if re.inspect && !rp.now.Before(re.downTill) {
		re.inspect = false
		rp.report(re)
	}
	rp.act(re, re.en.Tick(rp.now))
}

// send sends a request of an organisation to a random engine.
func (rp *replay) send(organisation int) {
	or := &rp.organisations[organisation]
	rq := Request{
		Attempt: fmt.Sprintf("%s-%d", or.name, len(rp.attempts)), Entry: "entry", Key: Key{Model: testModel}, Urgency: or.urgency,
		PromptTokens: or.prompt, OutputTokens: or.output, Deadline: rp.now.Add(3500 * time.Millisecond),
	}
	if len(or.adapters) > 0 {
		rq.Key.Adapter = or.adapters[rp.rng.IntN(len(or.adapters))]
	}
	rs := &replaySent{organisation: organisation, tokens: rq.tokens(), at: rp.now, deadline: rq.Deadline, goalAt: rp.now.Add(or.goal)}
	if !rp.nameless {
		rq.Organisation = or.name
		if or.goal > 0 {
			rq.GoalAt = rs.goalAt
		}
	}
	rp.sent[rq.Attempt] = rs
	rp.attempts = append(rp.attempts, rq.Attempt)
	re := rp.engines[rp.rng.IntN(len(rp.engines))]
	for rp.now.Before(re.downTill) {
		re = rp.engines[rp.rng.IntN(len(rp.engines))]
	}
	if rp.noGoals {
		rq.GoalAt = time.Time{}
	}
	if rp.estimates {
		probe := rq
		probe.Arrived, probe.share = rp.now, re.en.shares.of(rq.Organisation, rp.now)
		rs.expected = re.en.expectedWait(&probe, rp.now)
	}
	rp.act(re, re.en.Reserve(rq, rp.now))
}

// fairness returns the lowest part of its fair share that an organisation got in any of the windows of 10 s
// between two times, and Jain's index of the parts of their demand that organisations got in the whole time.
func (rp *replay) fairness(from, to time.Duration) (lowest, jain float64) {
	lowest = 1
	for begin := from; begin+10*time.Second <= to; begin += time.Second {
		demand, served := rp.tokensBetween(begin, begin+10*time.Second)
		fair := maxMinShares(demand, sum(served))
		for ix := range fair {
			if fair[ix] > 0 {
				lowest = min(lowest, served[ix]/fair[ix])
			}
		}
	}
	demand, served := rp.tokensBetween(from, to)
	total, squares := 0.0, 0.0
	for ix := range demand {
		part := served[ix] / demand[ix]
		total += part
		squares += part * part
	}
	return lowest, total * total / (float64(len(demand)) * squares)
}

// tokensBetween returns the tokens that each organisation asked for and was granted between two times. Requests that
// arrive in the last second may be granted later without loss to their callers, and do not count as demand.
func (rp *replay) tokensBetween(from, to time.Duration) (demand, served []float64) {
	demand, served = make([]float64, len(rp.organisations)), make([]float64, len(rp.organisations))
	for _, rs := range rp.sent {
		within := func(at time.Time) bool { return !at.Before(testStart.Add(from)) && at.Before(testStart.Add(to)) }
		if within(rs.at) && within(rs.at.Add(time.Second)) {
			demand[rs.organisation] += float64(rs.tokens)
		}
		if within(rs.grantedAt) {
			served[rs.organisation] += float64(rs.tokens)
		}
	}
	return demand, served
}

// maxMinShares divides what is served so that nobody gets more than its demand and what is left over goes to the
// others in equal parts.
func maxMinShares(demand []float64, capacity float64) []float64 {
	order := make([]int, len(demand))
	for ix := range order {
		order[ix] = ix
	}
	slices.SortFunc(order, func(aa, bb int) int { return int(demand[aa] - demand[bb]) })
	shares := make([]float64, len(demand))
	for ix, organisation := range order {
		shares[organisation] = min(demand[organisation], capacity/float64(len(order)-ix))
		capacity -= shares[organisation]
	}
	return shares
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

func sortedKeys(runs map[string]*replayRun) []string {
	keys := make([]string, 0, len(runs))
	for key := range runs {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
