package direct

import (
	"cmp"
	"time"

	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/paths"
)

// Reasons for refusing a request because of its key, besides the faults of the key itself.
const (
	reasonKeyMissing = "missing"
	reasonKeyUnknown = "unknown"
	// reasonKeyUncertain means that the node does not know the key and cannot tell whether it is new.
	reasonKeyUncertain = "uncertain"
	// reasonKeyWithdrawn means that the key was withdrawn while the request waited.
	reasonKeyWithdrawn = "key_withdrawn"
)

// identify finds the organisation that sends the request by its key, and the request's rank. It returns an error if the route
// requires a key and the request has no valid one. Without organisations, keys have no meaning.
func (rq *request) identify(ta *paths.Table) error {
	rq.rank = rq.route.Rank
	if !ta.HasOrganisations() {
		return nil
	}
	rq.identified = true
	reason := cmp.Or(string(rq.info.KeyFault), reasonKeyMissing)
	if rq.info.Key != "" {
		rq.key, reason = paths.DigestOf(rq.info.Key), reasonKeyUnknown
		rq.organisation, _ = ta.Holder(rq.key)
		// From here on, only the digest is needed.
		rq.info.Key = ""
	}
	rq.rank = ta.RankOf(rq.organisation, rq.route)
	if rq.organisation != nil || rq.route.Anonymous {
		return nil
	}
	if reason == reasonKeyUnknown && rq.no.routesUncertain(time.Now()) {
		reason = reasonKeyUncertain
	}
	return rq.keyError(reason)
}

// routesUncertain reports whether the node's routes may be older than the operators' latest by more than the setting routes_ms, so
// that it may not know a new key.
func (no *Node) routesUncertain(now time.Time) bool {
	if no.view.routesLogDown.Load() {
		return true
	}
	age := no.feeds.followers[OperatorsTopic.String()].age(now)
	return age > time.Duration(no.options.Settings.RoutesMs)*time.Millisecond
}

// keyError counts a request that is refused because of its key, and returns the error.
func (rq *request) keyError(reason string) error {
	metricKeysRefused.Add(reason, 1)
	switch reason {
	case reasonKeyUncertain:
		return fault.New(fault.Unavailable, "the node cannot tell whether the key is valid, as it has not read the latest routes", "send the request again").
			WithRetryAfter(logDownRetryAfter)
	case reasonKeyUnknown:
		return fault.New(fault.Unauthorized, "the key is not valid", "send a key of your organisation")
	case reasonKeyWithdrawn:
		return fault.New(fault.Unauthorized, "the key was withdrawn before the request was sent to a server", "send a key of your organisation")
	}
	return fault.New(fault.Unauthorized, "the request has no valid key: "+reason, "send one header Authorization: Bearer KEY")
}

// recheckKey looks the key up again in the latest routes after a wait, updates the organisation and the rank, and reports whether
// the key was withdrawn. The charge stays. A request that may have run goes on to its end.
func (rq *request) recheckKey() bool {
	rq.no.awaitRoutes(rq.hr.Context())
	ta := rq.no.view.table.Load()
	if ta.Version == rq.routesVersion {
		return false
	}
	// The first routes with organisations may have come while the request waited.
	rq.identified = rq.identified || ta.HasOrganisations()
	if rq.organisation == nil || rq.mayHaveRun || !ta.HasOrganisations() {
		return false
	}
	or, ok := ta.Holder(rq.key)
	switch {
	case !ok && !rq.route.Anonymous:
		return true
	case !ok:
		rq.organisation = nil
	case or.Name != rq.organisation.Name:
		rq.organisation = or
	}
	rq.rank = ta.RankOf(rq.organisation, rq.route)
	return false
}

// organisationName returns the name of the organisation that sends the request, empty if there is none.
func (rq *request) organisationName() string {
	if rq.organisation == nil {
		return ""
	}
	return rq.organisation.Name
}

// goal returns the milliseconds that are left until the route's target for the first event, zero without a target or an
// organisation, or if the caller has the beginning of the answer already.
func (rq *request) goal(now time.Time) int64 {
	if rq.organisation == nil || rq.route.Target <= 0 || rq.stream.count > 0 {
		return 0
	}
	return max(1, rq.start.Add(rq.route.Target).Sub(now).Milliseconds())
}

// logOrganisation adds the organisation that sends the request to a log line.
func (rq *request) logOrganisation(ev *zerolog.Event) {
	if rq.organisation != nil {
		ev.Str("organisation", rq.organisation.Name)
	}
}
