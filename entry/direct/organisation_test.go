package direct

import (
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/paths"
)

// The agent lets requests that are late already yield to others. A request without an organisation or target, or whose caller has
// events already, must not count as late.
func TestGoalIsTheTimeLeftUntilTheTargetOfTheFirstEvent(t *testing.T) {
	start := time.Unix(1000, 0)
	juno := &paths.Organisation{Name: "juno"}
	for name, tc := range map[string]struct {
		or     *paths.Organisation
		target time.Duration
		events int
		at     time.Duration
		want   int64
	}{
		"at the start":        {juno, time.Second, 0, 0, 1000},
		"after a wait":        {juno, time.Second, 0, 400 * time.Millisecond, 600},
		"just before":         {juno, time.Second, 0, 999_500 * time.Microsecond, 1},
		"late":                {juno, time.Second, 0, 3 * time.Second, 1},
		"no target":           {juno, 0, 0, 0, 0},
		"no organisation":     {nil, time.Second, 0, 0, 0},
		"after a first event": {juno, time.Second, 1, 3 * time.Second, 0},
	} {
		rq := &request{start: start, route: &paths.Route{Target: tc.target}, organisation: tc.or, stream: streamState{count: tc.events}}
		if got := rq.goal(start.Add(tc.at)); got != tc.want {
			t.Errorf("%s: %d ms, want %d", name, got, tc.want)
		}
	}
}

// A key that another organisation has now identifies that one, and a key that is gone nobody, also on a route that needs none.
func TestKeyIsCheckedAgainByTheLatestRoutes(t *testing.T) {
	for name, tc := range map[string]struct {
		next             *paths.Table
		anonymous, ran   bool
		withdrawn        bool
		organisationName string
	}{
		"same routes":                  {tableOfKeys(1, "k-1"), false, false, false, "juno"},
		"key is left":                  {tableOfKeys(2, "k-1"), false, false, false, "juno"},
		"withdrawn":                    {tableOfKeys(2), false, false, true, "juno"},
		"withdrawn, may have run":      {tableOfKeys(2), false, true, false, "juno"},
		"withdrawn on anonymous route": {tableOfKeys(2), true, false, false, ""},
		"no organisations any more":    {(&paths.Table{Version: 2}).Build(), false, false, false, "juno"},
		"moved to another":             {(&paths.Table{Version: 2, Organisations: []paths.Organisation{{Name: "ceres", Keys: tableOfKeys(1, "k-1").Organisations[0].Keys}}}).Build(), false, false, false, "ceres"},
	} {
		no := newKeyNode(t, &scriptedLog{}, tableOfKeys(1, "k-1"))
		no.view.table.Store(tc.next)
		or, _ := tableOfKeys(1, "k-1").OrganisationOf("k-1")
		rq := &request{no: no, routesVersion: 1, identified: true, key: paths.DigestOf("k-1"), organisation: or, mayHaveRun: tc.ran, route: &paths.Route{Anonymous: tc.anonymous}, hr: newHeadRequest("k-1")}
		if got := rq.recheckKey(); got != tc.withdrawn || rq.organisationName() != tc.organisationName {
			t.Errorf("%s: withdrawn %t, organisation %q, want %t and %q", name, got, rq.organisationName(), tc.withdrawn, tc.organisationName)
		}
	}
	no := newKeyNode(t, &scriptedLog{}, tableOfKeys(2, "k-1"))
	rq := &request{no: no, routesVersion: 1, route: &paths.Route{}, hr: newHeadRequest("k-1")}
	if rq.recheckKey() || !rq.identified {
		t.Error("the key is forwarded although organisations have come into force since the request was read")
	}
}
