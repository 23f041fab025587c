package proofs

import (
	"slices"
	"time"

	"go.uber.org/fx"

	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/entry/direct"
)

// drawnRoutes is what the routes of a deployment say.
type drawnRoutes struct {
	version int64
	// advice and canary are the weights of the services of streams, zero for none of both.
	advice, canary int
	removed        []string
	// patient makes requests take up to patientTimeout.
	patient bool
}

// impatientTimeout is the time limit of routes that are not patient.
const impatientTimeout = 5 * time.Second

// table returns the routes as a table.
func (dr drawnRoutes) table() *paths.Table {
	ta := routeTable(dr.version)
	if dr.advice+dr.canary > 0 {
		ta = canaryTable(dr.version, dr.advice, dr.canary)
	}
	ta.Routes = slices.DeleteFunc(ta.Routes, func(ro paths.Route) bool { return slices.Contains(dr.removed, ro.Prefix) })
	for ix := range ta.Routes {
		ta.Routes[ix].Timeout = impatientTimeout
		if dr.patient {
			ta.Routes[ix].Timeout = patientTimeout
		}
	}
	return ta.Build()
}

// removeRoute removes a route for a time.
type removeRoute struct {
	noClass
	Prefix string
	Lasts  time.Duration
}

func (rr removeRoute) happen(dw *drawnWorld) {
	dw.changeRoutes(func(dr *drawnRoutes) { dr.removed = append(slices.Clone(dr.removed), rr.Prefix) })
	time.Sleep(rr.Lasts)
	dw.changeRoutes(func(dr *drawnRoutes) {
		dr.removed = slices.DeleteFunc(slices.Clone(dr.removed), func(prefix string) bool { return prefix == rr.Prefix })
	})
}

// shareStreams shares the streams by weight with a second service.
type shareStreams struct{ Advice, Canary int }

func (shareStreams) class() string { return classServices }

func (ss shareStreams) happen(dw *drawnWorld) {
	dw.changeRoutes(func(dr *drawnRoutes) { dr.advice, dr.canary = ss.Advice, ss.Canary })
}

// changeRoutes changes the routes and writes them to the log.
func (dw *drawnWorld) changeRoutes(change func(dr *drawnRoutes)) {
	dw.mu.Lock()
	defer dw.mu.Unlock()
	change(&dw.routes)
	dw.routes.version++
	dw.ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Table: dw.routes.table()})
}

// agent returns the program of an engine's agent.
func (dw *drawnWorld) agent(id string) *fx.App {
	dw.mu.Lock()
	defer dw.mu.Unlock()
	return dw.ds.agents[id]
}

// openSpan records a time in which an entry node does not serve as it should, and returns its index.
func (dw *drawnWorld) openSpan(span drawnSpan) int {
	dw.mu.Lock()
	defer dw.mu.Unlock()
	dw.history.spans = append(dw.history.spans, span)
	return len(dw.history.spans) - 1
}

// setEnding marks an entry node as about to end and start again, and reports whether that is new.
func (dw *drawnWorld) setEnding(de *drawnEntry, ending bool) bool {
	dw.mu.Lock()
	defer dw.mu.Unlock()
	changed := de.ending != ending
	de.ending = ending
	return changed
}

// noticeEnd keeps callers away from a run of an entry node.
func (dw *drawnWorld) noticeEnd(de *drawnEntry, host string) {
	dw.mu.Lock()
	defer dw.mu.Unlock()
	if de.host() == host {
		de.ready = false
	}
}

// endOfStop returns from when on an entry node is gone whose stop began at a time and has just ended. One that stood still
// meanwhile could not end as it should.
func (dw *drawnWorld) endOfStop(name string, began time.Time) time.Time {
	dw.mu.Lock()
	defer dw.mu.Unlock()
	for _, span := range dw.history.spans {
		if span.entry == name && span.frozen && span.to.After(began) {
			return began
		}
	}
	return time.Now().Add(closeTime)
}

// announceVersion announces a version of an adapter.
type announceVersion struct {
	noClass
	Adapter string
	Version int
}

func (av announceVersion) happen(dw *drawnWorld) {
	dw.ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Version: &direct.AdapterVersion{Model: testModel, Adapter: av.Adapter, Version: av.Version}})
}

// loseLog makes the log fail for one entry node, or for all if none is named.
type loseLog struct {
	noClass
	Entry string
	Lasts time.Duration
}

func (ll loseLog) happen(dw *drawnWorld) {
	set := dw.ds.source.setDown
	if ll.Entry != "" {
		de, _ := dw.entry(ll.Entry)
		set = de.reader.setRefused
	}
	set(true)
	time.Sleep(ll.Lasts)
	set(false)
}
