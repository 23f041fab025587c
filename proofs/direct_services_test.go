package proofs

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/origin"
	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/entry/direct"
)

// canaryService is a second service of engines, to which the route of streams leads too.
const canaryService = "advice-canary"

// canaryTable returns the route table of the tests, with the streams shared by two services.
func canaryTable(version int64, advice, canary int) *paths.Table {
	ta := routeTable(version)
	ta.Services[canaryService] = paths.Service{Name: canaryService, Engine: true, AdapterSlots: 2, Models: []paths.Model{{Name: testModel}}}
	for ix := range ta.Routes {
		if ta.Routes[ix].Kind == paths.Stream {
			ta.Routes[ix].Splits = []paths.Split{{Service: "advice", Weight: advice}, {Service: canaryService, Weight: canary}}
		}
	}
	return ta.Build()
}

// streamsAcrossPeriod is the time between the events of streams of which many last from before a change until after it.
const streamsAcrossPeriod = 200 * time.Millisecond

// serviceCase is a deployment of two services whose servers run one software version each.
type serviceCase struct {
	// advice and canary are the versions of the services' engines.
	advice, canary []string
	entries        []string
	unnamed        bool
	// act happens after the callers have begun.
	act func(sw *softwareWorld)
}

var serviceCases = map[string]serviceCase{
	"callers come back to the node": {
		advice: []string{"v1", "v1"}, canary: []string{"v2", "v2"}, entries: []string{"entry-1"},
	},
	"callers come to another node": {
		advice: []string{"v1", "v1"}, canary: []string{"v2", "v2"}, entries: []string{"entry-1", "entry-2", "entry-3"},
	},
	"callers do not name the first request": {
		advice: []string{"v1", "v1"}, canary: []string{"v2", "v2"}, entries: []string{"entry-1"}, unnamed: true,
	},
	"both services run one version": {
		advice: []string{"v1", "v1"}, canary: []string{"v1", "v1"}, entries: []string{"entry-1", "entry-2", "entry-3"},
	},
}

// run plays a case and returns what became of the streams.
func (tc serviceCase) run(t *testing.T) softwareSummary {
	su, period := softwareSummary{}, shortPeriod
	if tc.act != nil {
		period = streamsAcrossPeriod
	}
	runDirectSimulation(t, 0, len(tc.advice), func(t *testing.T, ds *directSimulation, first *directCaller) {
		first.client.CloseIdleConnections()
		sw := &softwareWorld{
			ds: ds, random: rand.New(rand.NewPCG(1, 1)), breakShare: 0.5, eventPeriod: period, tries: softwareTries,
			successors: map[string]string{}, readers: map[string]*nodeReader{}, unnamed: tc.unnamed,
		}
		ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Table: canaryTable(2, 1, 1)})
		ds.startEntries(3)
		for ix, software := range append(append([]string(nil), tc.advice...), tc.canary...) {
			id := engineName(ix)
			if ix >= len(tc.advice) {
				ds.startServer(id, canaryService, testModel)
			}
			ds.backends[id].setScript(sw.answer(ds.backends[id]))
			sw.setSoftware(id, software)
		}
		// Nothing is left of the records from before the versions were set, nor of what agents tell of them.
		time.Sleep(3 * origin.RetentionMax)
		sw.load(t.Context(), softwareCase{entries: tc.entries, act: tc.act})
		su = sw.summary(time.Time{})
	})
	return su
}

// A route leads to two services, whose servers run different software. A stream that is taken up must go on at the
// software version that began it, whichever of the services the request that takes it up is drawn for.
func TestDirectStreamOfARouteWithTwoServicesGoesOnAtItsSoftwareVersion(t *testing.T) {
	checkServiceCases(t, serviceCases)
}

// An operator moves a route to another service, whose servers run other software. Streams that began at the first service
// must not go on at the second one.
func TestDirectStreamDoesNotMoveToAnotherServiceWithOtherSoftware(t *testing.T) {
	checkServiceCases(t, map[string]serviceCase{
		"the first service has no weight any more": {
			advice: []string{"v1", "v1"}, canary: []string{"v2", "v2"}, entries: []string{"entry-1"}, act: setSplits(0, 1),
		},
		"the route does not lead to the first service any more": {
			advice: []string{"v1", "v1"}, canary: []string{"v2", "v2"}, entries: []string{"entry-1"}, act: removeFirstSplit,
		},
	})
}

// setSplits returns what changes the weights of the two services after three seconds.
func setSplits(advice, canary int) func(sw *softwareWorld) {
	return func(sw *softwareWorld) {
		time.Sleep(3 * time.Second)
		sw.ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Table: canaryTable(3, advice, canary)})
	}
}

// removeFirstSplit makes the routes of streams lead to the second service alone after three seconds.
func removeFirstSplit(sw *softwareWorld) {
	time.Sleep(3 * time.Second)
	ta := canaryTable(3, 0, 1)
	for ix := range ta.Routes {
		if ta.Routes[ix].Kind == paths.Stream {
			ta.Routes[ix].Splits = ta.Routes[ix].Splits[1:]
		}
	}
	sw.ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Table: ta.Build()})
}

// checkServiceCases plays cases and reports streams of two software versions.
func checkServiceCases(t *testing.T, cases map[string]serviceCase) {
	t.Helper()
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			su := tc.run(t)
			if su.mixed > 0 {
				t.Errorf("%d of %d streams that were begun hold events of two software versions", su.mixed, su.begun)
			}
			if su.takenUp < 12 {
				t.Errorf("only %d streams were taken up", su.takenUp)
			}
			t.Logf("%+v", su)
		})
	}
}
