package proofs

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/origin"
	"github.com/bambooladder/bambooladder/entry/direct"
)

const (
	// breakAfterEvents is the number of events after which an engine breaks a stream.
	breakAfterEvents = 3
	// softwareTries is the number of requests by which a caller tries to get one stream, patientTries that of a caller
	// that waits until entry nodes are back.
	softwareTries = 4
	patientTries  = 60
	// shortPeriod is the time between the events of a stream, longPeriod that of streams that outlast a restart.
	shortPeriod = 20 * time.Millisecond
	longPeriod  = 300 * time.Millisecond
	// resumeDelay is the time after which a caller takes up a broken stream.
	resumeDelay = 50 * time.Millisecond
)

// softwareWorld is a deployment whose engines run several versions of their software. They name it in each
// event, and break some streams.
type softwareWorld struct {
	ds *directSimulation

	mu     sync.Mutex
	random *rand.Rand
	// unnamed is true for callers that do not name the request that brought the first event.
	unnamed bool
	// eventPeriod is the time between the events of a stream, tries the number of requests for one.
	eventPeriod time.Duration
	tries       int
	// breakShare is the share of streams that engines break.
	breakShare float64
	// results holds the streams that callers asked for.
	results []softwareResult
	// readers holds the log as the entry nodes see it that were started with others.
	readers map[string]*nodeReader
	// successors maps the names of entry nodes that were killed to those of the nodes that callers come to instead.
	successors map[string]string
}

// softwareResult is what a caller got of one stream.
type softwareResult struct {
	at time.Time
	// versions holds the software versions of its events, each once, in order.
	versions []string
	// takenUp is the number of requests that took the stream up and reached an entry node, wentOn the number of those that brought an
	// event, refused that of those that were refused at once.
	takenUp, wentOn, refused int
	complete                 bool
	// slowest is the longest time until a request that took the stream up was refused.
	slowest time.Duration
}

// answer writes a stream whose events name the engine's software, or breaks it midway.
func (sw *softwareWorld) answer(ba *backend) func(wr http.ResponseWriter, rq *http.Request) {
	return func(wr http.ResponseWriter, rq *http.Request) {
		ba.mu.Lock()
		software, loaded := ba.software, ba.loaded[rq.Header.Get(headerAdapter)] > 0
		ba.mu.Unlock()
		if !loaded {
			// An engine that has just started holds nothing.
			wr.Header().Set(headerID, rq.Header.Get(headerID))
			wr.Header().Set(headerServer, ba.announcedID)
			wr.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		sw.mu.Lock()
		until, breaks := streamEventCount, sw.random.Float64() < sw.breakShare
		sw.mu.Unlock()
		last, _ := strconv.Atoi(rq.Header.Get(headerLastEvent))
		if breaks {
			until = min(until-1, last+breakAfterEvents)
		}
		hijack(wr, func(bw *bufio.ReadWriter) {
			_, _ = fmt.Fprintf(bw, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: yes\r\n"+streamLines+"\r\n", headerID, rq.Header.Get(headerID), headerSeal)
			for number := last + 1; number <= until; number++ {
				time.Sleep(sw.eventPeriod)
				_, _ = bw.WriteString(encodeChunk(fmt.Sprintf("id: %d\ndata: %s\n\n", number, software)))
				if bw.Flush() != nil {
					return
				}
			}
			if !breaks {
				_, _ = bw.WriteString("0\r\n\r\n")
			}
		})
	}
}

// streamEvents holds the events of one answer.
type streamEvents struct {
	status   int
	last     int
	versions []string
	whole    bool
}

// successor returns the name of the entry node that callers of another one come to.
func (sw *softwareWorld) successor(entry string) string {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	if name, ok := sw.successors[entry]; ok {
		return name
	}
	return entry
}

// request sends one request for a stream and reads its events.
func (sw *softwareWorld) request(ctx context.Context, entry, id, begunBy string, last int) streamEvents {
	entry = sw.successor(entry)
	cl := sw.ds.newCaller(entry)
	defer cl.client.CloseIdleConnections()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+":1/stream/x", strings.NewReader("prompt"))
	if err != nil {
		return streamEvents{last: last}
	}
	rq.Host = directHost
	rq.Header.Set(headerID, id)
	rq.Header.Set(headerTimeout, "4000")
	rq.Header.Set(headerAdapter, "a1")
	if last > 0 {
		rq.Header.Set(headerLastEvent, strconv.Itoa(last))
		if !sw.unnamed {
			rq.Header.Set(headerResumes, begunBy)
		}
	}
	resp, err := cl.client.Do(rq)
	if err != nil {
		return streamEvents{last: last}
	}
	defer func() { _ = resp.Body.Close() }()
	se := streamEvents{status: resp.StatusCode, last: last}
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return se
	}
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		name, value, _ := strings.Cut(sc.Text(), ": ")
		switch name {
		case "id":
			se.last, _ = strconv.Atoi(value)
		case "data":
			se.versions = append(se.versions, value)
		}
	}
	se.whole = sc.Err() == nil && se.last == streamEventCount
	return se
}

// stream gets one stream, and takes it up at the next entry node whenever it breaks.
func (sw *softwareWorld) stream(ctx context.Context, name string, entries []string, first int) {
	re, begunBy, last := softwareResult{at: time.Now()}, "", 0
	for try := range sw.tries {
		id := fmt.Sprintf("%s-%d", name, try)
		start := time.Now()
		se := sw.request(ctx, entries[(first+try)%len(entries)], id, begunBy, last)
		if last > 0 && se.status > 0 {
			re.takenUp++
			re.count(se, time.Since(start))
		}
		if last == 0 && len(se.versions) > 0 {
			begunBy = id
		}
		re.addVersions(se.versions)
		last = se.last
		if se.whole || ctx.Err() != nil {
			re.complete = se.whole
			break
		}
		time.Sleep(resumeDelay)
	}
	sw.mu.Lock()
	defer sw.mu.Unlock()
	sw.results = append(sw.results, re)
}

// count records the outcome of a request that took the stream up.
func (re *softwareResult) count(se streamEvents, took time.Duration) {
	switch {
	case len(se.versions) > 0:
		re.wentOn++
	case se.status >= http.StatusBadRequest:
		re.refused++
		re.slowest = max(re.slowest, took)
	}
}

// addVersions adds the software versions that are not the last one of the list.
func (re *softwareResult) addVersions(versions []string) {
	for _, version := range versions {
		if len(re.versions) == 0 || re.versions[len(re.versions)-1] != version {
			re.versions = append(re.versions, version)
		}
	}
}

// softwareSummary counts the streams of a time.
type softwareSummary struct {
	streams, begun, mixed, takenUp, wentOn, refused int
	slowest                                         time.Duration
}

// summary counts the streams that were asked for from a time on.
func (sw *softwareWorld) summary(from time.Time) softwareSummary {
	sw.mu.Lock()
	defer sw.mu.Unlock()
	su := softwareSummary{}
	for _, re := range sw.results {
		if re.at.Before(from) {
			continue
		}
		su.streams++
		if len(re.versions) > 0 {
			su.begun++
		}
		if len(re.versions) > 1 {
			su.mixed++
		}
		su.takenUp, su.wentOn, su.refused = su.takenUp+re.takenUp, su.wentOn+re.wentOn, su.refused+re.refused
		su.slowest = max(su.slowest, re.slowest)
	}
	return su
}

// killAllEntries kills all entry nodes, lets something happen, and starts as many anew.
func (sw *softwareWorld) killAllEntries(meanwhile func()) {
	const count = 3
	for ix := range count {
		sw.ds.net.kill(entryName(1 + ix))
	}
	if meanwhile != nil {
		meanwhile()
	}
	time.Sleep(500 * time.Millisecond)
	apps := make(chan struct{})
	sw.mu.Lock()
	for ix := range count {
		sw.successors[entryName(1+ix)] = entryName(11 + ix)
	}
	sw.mu.Unlock()
	for ix := range count {
		go func() {
			sw.ds.startEntry(entryName(11 + ix))
			apps <- struct{}{}
		}()
	}
	for range count {
		<-apps
	}
}

// removeEngine takes an engine away with its agent.
func (sw *softwareWorld) removeEngine(ix int) {
	sw.ds.source.appendRecord(direct.ServersTopic, direct.LogRecord{RemovedServer: engineName(ix)})
	sw.ds.net.kill(engineName(ix))
}

// setVersion makes the next run of an engine run a version of its software.
func (ba *backend) setVersion(software string) {
	ba.mu.Lock()
	defer ba.mu.Unlock()
	ba.software = software
}

// setSoftware makes an engine run a version of its software, and writes its record.
func (sw *softwareWorld) setSoftware(id, software string) {
	ba := sw.ds.backends[id]
	ba.mu.Lock()
	ba.software = software
	ba.mu.Unlock()
	sw.ds.announceServer(id, ba.service, ba.model, false)
}

// softwareCase is a deployment and what happens to it while callers get streams.
type softwareCase struct {
	// versions holds the software version of each engine.
	versions []string
	entries  []string
	// act happens after the callers have begun.
	act func(sw *softwareWorld)
	// seeds is the number of seeds that the case is played with, zero for one.
	seeds uint64
	// frozen is how long the node is frozen that some callers come to.
	frozen time.Duration
	// unnamed is true for callers that do not name the request that brought the first event.
	unnamed bool
	// long is true for streams that outlast a restart of entry nodes, and callers that wait for it.
	long bool
	// goesOn is true if streams must go on at least half as often as new ones begin.
	goesOn bool
}

var softwareCases = map[string]softwareCase{
	"two versions, engines break streams": {versions: []string{"v1", "v1", "v2", "v2"}, entries: []string{"entry-1"}, goesOn: true},
	"callers take streams up at another entry node": {
		versions: []string{"v1", "v1", "v2", "v2"}, entries: []string{"entry-1", "entry-2", "entry-3"}, goesOn: true,
	},
	"entry nodes are killed": {
		versions: []string{"v1", "v1", "v2", "v2"}, entries: []string{"entry-1", "entry-2", "entry-3"}, goesOn: true,
		act: func(sw *softwareWorld) {
			for ix := range 2 {
				time.Sleep(1500 * time.Millisecond)
				sw.ds.net.kill(entryName(1 + ix))
			}
		},
	},
	"a node starts and takes streams up": {
		versions: []string{"v1", "v1", "v2", "v2"}, entries: []string{"entry-1", "entry-2", "entry-4"},
		act: func(sw *softwareWorld) { sw.ds.startEntry("entry-4") },
	},
	"the log is away": {
		versions: []string{"v1", "v1", "v2", "v2"}, entries: []string{"entry-1", "entry-2", "entry-3"}, goesOn: true,
		act: func(sw *softwareWorld) { sw.ds.source.setDown(true) },
	},
	"engines start again in place at another version": {
		versions: []string{"v1", "v1", "v2", "v2"}, entries: []string{"entry-1", "entry-2", "entry-3"},
		act: func(sw *softwareWorld) {
			for _, id := range []string{"engine-0", "engine-2", "engine-1", "engine-3"} {
				time.Sleep(700 * time.Millisecond)
				ba := sw.ds.backends[id]
				ba.mu.Lock()
				ba.software = map[string]string{"v1": "v2", "v2": "v1"}[ba.software]
				ba.mu.Unlock()
				sw.ds.crashServer(id, 100*time.Millisecond)
			}
		},
	},
	"the last server of a version leaves": {
		versions: []string{"v1", "v2", "v2", "v2"}, entries: []string{"entry-1", "entry-2", "entry-3"},
		act: func(sw *softwareWorld) {
			time.Sleep(time.Second)
			sw.ds.announceServer("engine-0", "advice", testModel, true)
			time.Sleep(time.Second)
			sw.ds.source.appendRecord(direct.ServersTopic, direct.LogRecord{RemovedServer: "engine-0"})
		},
	},
	"a second version appears": {
		versions: []string{"v1", "v1", "v1", "v1"}, entries: []string{"entry-1", "entry-2", "entry-3"}, goesOn: true,
		act: func(sw *softwareWorld) {
			for _, id := range []string{"engine-0", "engine-1"} {
				time.Sleep(900 * time.Millisecond)
				ba := sw.ds.backends[id]
				ba.mu.Lock()
				ba.software = "v2"
				ba.mu.Unlock()
				sw.ds.crashServer(id, 300*time.Millisecond)
			}
		},
	},
	"a node loses half of the agents": {
		versions: []string{"v1", "v2", "v1", "v2"}, entries: []string{"entry-1", "entry-2", "entry-3"}, goesOn: true,
		act: func(sw *softwareWorld) {
			sw.ds.net.partition("entry-2", "engine-0")
			sw.ds.net.partition("entry-2", "engine-1")
		},
	},
	"agents start again one after the other": {
		versions: []string{"v1", "v1", "v2", "v2"}, entries: []string{"entry-1", "entry-2", "entry-3"}, goesOn: true,
		act: func(sw *softwareWorld) {
			for ix := range 4 {
				time.Sleep(time.Second)
				sw.ds.restartAgent(engineName(ix))
			}
		},
	},
	"a node freezes": {
		versions: []string{"v1", "v1", "v2", "v2"}, entries: []string{"entry-1", "entry-2", "entry-3"}, frozen: 2 * time.Second,
		act: func(sw *softwareWorld) {
			time.Sleep(time.Second)
			sw.ds.net.freeze("entry-1", 2*time.Second)
		},
	},
	"all entry nodes are killed while two versions serve": {
		versions: []string{"v1", "v1", "v2", "v2"}, long: true, entries: []string{"entry-1", "entry-2", "entry-3"}, goesOn: true,
		act: func(sw *softwareWorld) {
			time.Sleep(2 * time.Second)
			sw.killAllEntries(nil)
		},
	},
	"all entry nodes are killed while the last servers of a version leave": {
		versions: []string{"v1", "v1", "v2", "v2"}, long: true, entries: []string{"entry-1", "entry-2", "entry-3"},
		act: func(sw *softwareWorld) {
			time.Sleep(2 * time.Second)
			sw.killAllEntries(func() {
				for ix := range 2 {
					sw.removeEngine(ix)
				}
			})
		},
	},
	"all entry nodes are killed and another version serves when they are back": {
		versions: []string{"v1", "v1", "v1", "v1"}, long: true, entries: []string{"entry-1", "entry-2", "entry-3"},
		act: func(sw *softwareWorld) {
			time.Sleep(2 * time.Second)
			sw.killAllEntries(func() {
				for ix := range 4 {
					sw.ds.backends[engineName(ix)].setVersion("v2")
					sw.ds.crashServer(engineName(ix), 10*time.Millisecond)
				}
			})
		},
	},
	"all entry nodes are killed while one version serves": {
		versions: []string{"v1", "v1", "v1", "v1"}, long: true, entries: []string{"entry-1", "entry-2", "entry-3"}, goesOn: true,
		act: func(sw *softwareWorld) {
			time.Sleep(2 * time.Second)
			sw.killAllEntries(nil)
		},
	},
	"all entry nodes are killed while the last servers of a version leave with most agents": {
		versions: []string{"v1", "v1", "v1", "v1", "v1", "v2", "v2"}, long: true, entries: []string{"entry-1", "entry-2", "entry-3"},
		act: func(sw *softwareWorld) {
			time.Sleep(2 * time.Second)
			sw.killAllEntries(func() {
				for ix := range 5 {
					sw.removeEngine(ix)
				}
			})
		},
	},
	"a node is cut off while servers of a second version join": {
		versions: []string{"v1", "v1", "v1", "v1", "v1", "v1", "v1"}, entries: []string{"entry-1", "entry-2", "entry-3"}, seeds: 6,
		act: func(sw *softwareWorld) {
			sw.readers["entry-2"].setRefused(true)
			for _, other := range []string{"entry-1", "entry-3", "engine-2", "engine-3", "engine-4", "engine-5", "engine-6"} {
				sw.ds.net.partition("entry-2", other)
			}
			for ix := 2; ix < 7; ix++ {
				sw.ds.backends[engineName(ix)].setVersion("v2")
				sw.ds.crashServer(engineName(ix), 300*time.Millisecond)
			}
		},
	},
	"a node stands still while all servers change their version": {
		versions: []string{"v1", "v1", "v1", "v1"}, long: true, entries: []string{"entry-1", "entry-2", "entry-3"}, frozen: 3 * time.Second,
		act: func(sw *softwareWorld) {
			time.Sleep(time.Second)
			sw.ds.net.freeze("entry-2", 3*time.Second)
			for ix := range 4 {
				sw.ds.backends[engineName(ix)].setVersion("v2")
				sw.ds.crashServer(engineName(ix), 300*time.Millisecond)
			}
		},
	},
	"one version, and the log is away": {
		versions: []string{"v1", "v1", "v1"}, entries: []string{"entry-1", "entry-2", "entry-3"}, goesOn: true,
		act: func(sw *softwareWorld) { sw.ds.source.setDown(true) },
	},
	"one version, and callers do not name the first request": {
		versions: []string{"v1", "v1", "v1"}, entries: []string{"entry-1", "entry-2", "entry-3"}, goesOn: true, unnamed: true,
	},
	"two versions, and callers do not name the first request": {
		versions: []string{"v1", "v2", "v1"}, entries: []string{"entry-1", "entry-2", "entry-3"}, unnamed: true,
	},
	"one version": {versions: []string{"v1", "v1", "v1"}, entries: []string{"entry-1", "entry-2", "entry-3"}, goesOn: true},
}

// run plays a case and returns the streams that were asked for since the callers began.
func (tc softwareCase) run(t *testing.T, seed uint64) softwareSummary {
	su := softwareSummary{}
	runDirectSimulation(t, 0, len(tc.versions), func(t *testing.T, ds *directSimulation, first *directCaller) {
		first.client.CloseIdleConnections()
		sw := &softwareWorld{ds: ds, random: rand.New(rand.NewPCG(seed, 1)), breakShare: 0.5, eventPeriod: shortPeriod, tries: softwareTries, successors: map[string]string{}, readers: map[string]*nodeReader{}}
		for ix := 1; ix < 4; ix++ {
			sw.readers[entryName(ix)] = &nodeReader{testSource: ds.source}
			ds.readers[entryName(ix)] = sw.readers[entryName(ix)]
		}
		sw.unnamed = tc.unnamed
		if tc.long {
			sw.breakShare, sw.eventPeriod, sw.tries = 0.1, longPeriod, patientTries
		}
		ds.startEntries(3)
		for ix, version := range tc.versions {
			id := fmt.Sprintf("engine-%d", ix)
			ds.backends[id].setScript(sw.answer(ds.backends[id]))
			sw.setSoftware(id, version)
		}
		// Nothing is left of the records from before the versions were set.
		time.Sleep(origin.RetentionMax + time.Second)
		sw.load(t.Context(), tc)
		su = sw.summary(time.Time{})
	})
	return su
}

// load lets callers get streams for six seconds, while the case's act goes on.
func (sw *softwareWorld) load(ctx context.Context, tc softwareCase) {
	wg := sync.WaitGroup{}
	if tc.act != nil {
		wg.Go(func() { tc.act(sw) })
	}
	for number := range 120 {
		wg.Go(func() { sw.stream(ctx, fmt.Sprintf("stream-%d", number), tc.entries, number) })
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
}

// Engines of several software versions serve side by side. A stream must hold events of one of them only,
// whichever entry node takes it up, and must go on if servers of its version are there.
func TestDirectStreamGoesOnOnlyAtTheSoftwareVersionThatBeganIt(t *testing.T) {
	for name, tc := range softwareCases {
		t.Run(name, func(t *testing.T) {
			su := tc.run(t, 1)
			for seed := uint64(2); seed <= tc.seeds; seed++ {
				su.mixed += tc.run(t, seed).mixed
			}
			if su.mixed > 0 {
				t.Errorf("%d streams hold events of two software versions", su.mixed)
			}
			if su.takenUp < 12 {
				t.Fatalf("only %d streams were taken up", su.takenUp)
			}
			begins, goesOn := float64(su.begun)/float64(su.streams), float64(su.wentOn)/float64(su.takenUp)
			if tc.goesOn && goesOn < begins/2 {
				t.Errorf("%.2f of the streams that were taken up went on, %.2f of the new ones began", goesOn, begins)
			}
			if su.slowest > time.Second+tc.frozen {
				t.Errorf("a stream that could not go on was refused after %v", su.slowest)
			}
			t.Logf("%+v", su)
		})
	}
}
