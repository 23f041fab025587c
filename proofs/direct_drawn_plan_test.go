package proofs

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// drawnFaults is the most faults of a history without a hunt, faultTimeMax the latest time at which one begins.
	drawnFaults  = 6
	faultTimeMax = 8 * time.Second
	// faultLengthMax is the longest time that a fault lasts, freezeMax the longest time that a host stands still.
	faultLengthMax = 6 * time.Second
	freezeMax      = 3 * time.Second
	// callersMax is the most callers, breaksMax the largest share of answers that are cut all the time.
	callersMax = 20
	breaksMax  = 0.6
	// gapMax is the longest time that a server, a record or an entry node is missing.
	gapMax = 3 * time.Second
)

// drawnPlan is a deployment with what happens to it, as drawn from a seed.
type drawnPlan struct {
	Seed                    uint64
	Entries, Plain, Callers int
	// Engines holds the software version of each engine. The last Canaries are servers of the second service.
	Engines  []string
	Canaries int
	// Advice and Canary are the weights of the services of streams, both zero if there is one only.
	Advice, Canary int
	// Breaks is the share of answers of engines that are cut all the time.
	Breaks float64
	Faults []timedFault
	// Patient makes routes let requests take patientTimeout. Visits are the callers that are drawn for planned stops.
	Patient bool
	// Longest is how long the longest answers of each kind take, nil if any answer may be longer than those before it.
	Longest map[drawnKind]time.Duration
	Visits  []drawnVisit
}

// timedFault is a fault and when it begins.
type timedFault struct {
	At    time.Duration
	Fault drawnFault
}

// service returns the service of an engine.
func (dp *drawnPlan) service(ix int) string {
	if ix >= len(dp.Engines)-dp.Canaries {
		return canaryService
	}
	return "advice"
}

// String returns the plan, a line for each fault.
func (dp drawnPlan) String() string {
	lines := make([]string, 0, 1+len(dp.Faults))
	lines = append(lines, fmt.Sprintf("seed %d: %d entry nodes, %d plain servers, %d callers, engines %v, %d of them of the second service, weights %d and %d, %.2f of answers cut",
		dp.Seed, dp.Entries, dp.Plain, dp.Callers, dp.Engines, dp.Canaries, dp.Advice, dp.Canary, dp.Breaks))
	for _, tf := range dp.Faults {
		lines = append(lines, "  "+tf.String())
	}
	for ix, dv := range dp.Visits {
		lines = append(lines, fmt.Sprintf("  v%d at %s, patient routes: %t, longest answers %v", ix, dv.Entry, dp.Patient, dp.Longest))
		for _, vs := range dv.Steps {
			lines = append(lines, fmt.Sprintf("    %s a%d for %v: %T%+v %T%+v %T%+v", vs.Kind, vs.Adapter, vs.Timeout, vs.When, vs.When, vs.Body, vs.Body, vs.Answer, vs.Answer))
		}
	}
	return strings.Join(lines, "\n")
}

// String returns the fault with its parameters.
func (tf timedFault) String() string {
	text := fmt.Sprintf("%+v", tf.Fault)
	if af, ok := tf.Fault.(*answersFault); ok {
		text = fmt.Sprintf("%s %v share %.2f %T%+v", af.Server, af.Lasts, af.Share, af.Way, af.Way)
	}
	return fmt.Sprintf("at %v %T %s", tf.At.Round(time.Millisecond), tf.Fault, text)
}

// planDrawer draws a plan.
type planDrawer struct {
	*rand.Rand
	plan drawnPlan
	// without holds the classes of faults that are left out.
	without []string
}

// drawPlan draws the plan of a seed with up to faultsMax faults, without some classes of them.
func drawPlan(seed uint64, faultsMax int, without []string) drawnPlan {
	pd := &planDrawer{Rand: rand.New(rand.NewPCG(seed, 0)), without: without, plan: drawnPlan{Seed: seed}}
	pd.plan.Entries, pd.plan.Plain, pd.plan.Callers = 1+pd.IntN(3), 1+pd.IntN(3), 4+pd.IntN(callersMax-3)
	pd.plan.Breaks = breaksMax * pd.Float64()
	versions := 1 + pd.IntN(3)
	for range 2 + pd.IntN(5) {
		pd.plan.Engines = append(pd.plan.Engines, fmt.Sprintf("v%d", 1+pd.IntN(versions)))
	}
	if canaries := pd.IntN(len(pd.plan.Engines)); pd.IntN(3) == 0 && canaries > 0 && !slices.Contains(without, classServices) {
		pd.plan.Canaries, pd.plan.Advice, pd.plan.Canary = canaries, 1+pd.IntN(3), 1+pd.IntN(3)
	}
	for range 1 + pd.IntN(faultsMax) {
		pd.plan.Faults = append(pd.plan.Faults, timedFault{At: upTo(pd.Rand, faultTimeMax), Fault: pd.fault()})
	}
	pd.Rand = stopRandom(seed)
	pd.drawStops()
	return pd.plan
}

// fault draws a fault that is not left out.
func (pd *planDrawer) fault() drawnFault {
	draws := []func() drawnFault{
		pd.answers, pd.answers, pd.answers, pd.restart, pd.restart, pd.leave, pd.vanish, pd.end, pd.end, pd.stand, pd.cut, pd.log, pd.agent, pd.version, pd.route,
	}
	for {
		if fa := draws[pd.IntN(len(draws))](); !slices.Contains(pd.without, fa.class()) {
			return fa
		}
	}
}

// engine, plain, server and entry draw a name.
func (pd *planDrawer) engine() string { return engineName(pd.IntN(len(pd.plan.Engines))) }
func (pd *planDrawer) entry() string  { return entryName(1 + pd.IntN(pd.plan.Entries)) }
func (pd *planDrawer) server() string {
	if pd.IntN(4) == 0 {
		return fmt.Sprintf("plain-%d", pd.IntN(pd.plan.Plain))
	}
	return pd.engine()
}

// yes draws a choice, lasts how long a fault lasts, software a software version.
func (pd *planDrawer) yes() bool            { return pd.IntN(2) == 0 }
func (pd *planDrawer) lasts() time.Duration { return upTo(pd.Rand, faultLengthMax) }
func (pd *planDrawer) software() string     { return fmt.Sprintf("v%d", 1+pd.IntN(3)) }

// gap draws how long something is missing, often only for a moment.
func (pd *planDrawer) gap() time.Duration {
	if pd.yes() {
		return upTo(pd.Rand, gapMax/30)
	}
	return upTo(pd.Rand, gapMax)
}

// answers draws answers that are changed.
func (pd *planDrawer) answers() drawnFault {
	hows := []strayHow{fromStart, lastAgain, oneLess, goesBack, beginsLate}
	ways := []answerWay{
		cutAnswers{Resets: pd.yes()}, cutAnswers{Resets: pd.yes()}, cutAnswers{Resets: pd.yes(), Unframed: true}, unframedAnswers{},
		stalledAnswers{For: pd.lasts()}, repeatedAnswers{Anonymous: pd.yes()}, otherAnswersDrawn[pd.IntN(len(otherAnswersDrawn))],
		strayAnswers{How: hows[pd.IntN(len(hows))]},
	}
	return &answersFault{Server: pd.server(), Lasts: pd.lasts(), Share: 0.1 + 0.9*pd.Float64(), Way: ways[pd.IntN(len(ways))]}
}

func (pd *planDrawer) restart() drawnFault {
	rs := restartServer{Server: pd.server(), Downtime: pd.gap(), NewID: pd.yes(), Stays: pd.yes(), Resets: pd.yes(), AgentToo: pd.yes()}
	if pd.yes() {
		rs.Software = pd.software()
	}
	return rs
}

func (pd *planDrawer) leave() drawnFault {
	ls := leaveServer{Server: pd.server(), Announced: pd.yes(), Grace: pd.gap(), Resets: pd.yes()}
	if pd.yes() {
		ls.Joins = pd.software()
	}
	return ls
}

func (pd *planDrawer) vanish() drawnFault { return vanishRecord{Server: pd.server(), Gap: pd.gap()} }

func (pd *planDrawer) end() drawnFault {
	ee := endEntries{Entries: []string{pd.entry()}, Kills: pd.yes(), Downtime: pd.gap()}
	if pd.yes() {
		ee.Entries = nil
		for ix := range pd.plan.Entries {
			ee.Entries = append(ee.Entries, entryName(ix+1))
		}
	}
	return ee
}

func (pd *planDrawer) stand() drawnFault {
	if pd.yes() {
		return freezeServer{Server: pd.server(), Lasts: upTo(pd.Rand, freezeMax)}
	}
	return freezeEntry{Entry: pd.entry(), Lasts: upTo(pd.Rand, freezeMax)}
}

func (pd *planDrawer) cut() drawnFault {
	co := cutOff{Entry: pd.entry(), Server: pd.server(), AgentAlone: pd.yes(), Lasts: pd.lasts()}
	if pd.yes() {
		co.Server = ""
	}
	return co
}

func (pd *planDrawer) log() drawnFault {
	ll := loseLog{Lasts: pd.lasts()}
	if pd.yes() {
		ll.Entry = pd.entry()
	}
	return ll
}

func (pd *planDrawer) agent() drawnFault { return restartAgent{Server: pd.engine()} }

func (pd *planDrawer) version() drawnFault {
	return announceVersion{Adapter: fmt.Sprintf("a%d", pd.IntN(3)), Version: 1 + pd.IntN(3)}
}

func (pd *planDrawer) route() drawnFault {
	if pd.plan.Canaries > 0 && pd.yes() {
		return shareStreams{Advice: pd.IntN(3), Canary: 1 + pd.IntN(3)}
	}
	prefixes := []string{"/stream/", "/once/", "/safe/", "/unsafe/"}
	return removeRoute{Prefix: prefixes[pd.IntN(len(prefixes))], Lasts: pd.lasts()}
}
