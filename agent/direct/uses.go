package direct

import (
	"expvar"
	"sync/atomic"
	"time"

	"github.com/bambooladder/bambooladder/core/grant"
)

const (
	// usesMax is the number of organisations that the metric names; the others are summed up as usesOther.
	usesMax   = 64
	usesOther = "other"
	// usesNone stands for requests without an organisation.
	usesNone = "none"
	// usesPeriod is the shortest time between two updates of the metric.
	usesPeriod = 500 * time.Millisecond
)

// organisationUse is what one organisation has at the engine, as it is published.
type organisationUse struct {
	Queued        int `json:"queued"`
	QueuedTokens  int `json:"queued_tokens"`
	GrantedTokens int `json:"granted_tokens"`
}

// metricUses holds what each organisation has at the engine.
var metricUses = newUsesMetric("organisations")

// newUsesMetric publishes the use of the engine by organisation under a name and returns it.
func newUsesMetric(name string) *atomic.Pointer[map[string]organisationUse] {
	value := &atomic.Pointer[map[string]organisationUse]{}
	metrics.Set(name, expvar.Func(func() any { return value.Load() }))
	return value
}

// publishUses updates the use of the engine by organisation if that is due.
func (br *Broker) publishUses(now time.Time) {
	if now.Before(br.usesDueAt) {
		return
	}
	br.usesDueAt = now.Add(usesPeriod)
	published := namedUses(br.en.Uses())
	metricUses.Store(&published)
}

// namedUses returns uses by organisation, those beyond the largest ones summed up.
func namedUses(uses []grant.Use) map[string]organisationUse {
	named := make(map[string]organisationUse, min(len(uses), usesMax+1))
	for ix := range uses {
		name := uses[ix].Organisation
		switch {
		case ix >= usesMax:
			name = usesOther
		case name == "":
			name = usesNone
		}
		use := named[name]
		use.Queued += uses[ix].Queued
		use.QueuedTokens += uses[ix].QueuedTokens
		use.GrantedTokens += uses[ix].GrantedTokens
		named[name] = use
	}
	return named
}
