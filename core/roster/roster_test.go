package roster

import (
	"strconv"
	"strings"
	"testing"
	"time"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func server(id string) Server { return Server{ID: id, Service: "ledger", Address: "10.0.0.1:80"} }

func TestRemoveDropsServerAtOnceWhileLogIsReadable(t *testing.T) {
	ro := &Roster{}
	ro.Put(server("a"), Position{Offset: 1})
	ro.Remove("a", Position{Offset: 2}, testStart)
	if ro.Len() != 0 {
		t.Error("the removed server is still listed")
	}
}

func TestPutIgnoresRecordOlderThanRemoval(t *testing.T) {
	ro := &Roster{}
	ro.Put(server("a"), Position{Offset: 5})
	ro.Remove("a", Position{Offset: 7}, testStart)
	if ro.Put(server("a"), Position{Offset: 6}) {
		t.Error("a record older than the removal added the server again")
	}
	if !ro.Put(server("a"), Position{Offset: 8}) {
		t.Error("a record newer than the removal was ignored")
	}
}

func TestServersRemovedDuringLogOutageAreKeptUntilRewriteDelayHasPassed(t *testing.T) {
	ro := &Roster{}
	ro.Put(server("a"), Position{Offset: 1})
	ro.Put(server("b"), Position{Offset: 2})
	ro.MarkLogUnreadable()
	ro.Remove("a", Position{Offset: 3}, testStart)
	ro.Remove("b", Position{Offset: 4}, testStart)
	if ro.Len() != 2 {
		t.Fatal("servers were dropped during the outage of the log")
	}
	back := testStart.Add(4 * time.Second)
	ro.MarkLogReadable(back)
	ro.Expire(back.Add(MaxRewriteDelay / 2))
	if ro.Len() != 2 {
		t.Fatal("servers were dropped before the rewrite delay had passed")
	}
	ro.Put(server("a"), Position{Offset: 5})
	ro.Expire(back.Add(MaxRewriteDelay))
	if ro.Len() != 1 || ro.Servers(allServices, nobodyReports)[0].ID != "a" {
		t.Errorf("servers after the rewrite delay: %v, want only a", ro.Servers(allServices, nobodyReports))
	}
}

func TestLeavingServerStaysLeavingUntilItsNextRun(t *testing.T) {
	ro := &Roster{}
	leaving := server("a")
	leaving.Born, leaving.Leaving = 7, true
	ro.Put(leaving, Position{Offset: 1})
	ready := server("a")
	ready.Born = 7
	ro.Put(ready, Position{Offset: 2})
	if !ro.Servers(allServices, nobodyReports)[0].Leaving {
		t.Error("a later record of the same run ended the drain")
	}
	ready.Born = 9
	ro.Put(ready, Position{Offset: 3})
	if ro.Servers(allServices, nobodyReports)[0].Leaving {
		t.Error("a new run of the server is still marked as leaving")
	}
}

func TestListingRemovesServersThatItDoesNotContain(t *testing.T) {
	ro := &Roster{}
	ro.Put(server("a"), Position{Offset: 1})
	ro.Put(server("b"), Position{Offset: 2})
	ro.ApplyListing(map[string]bool{"b": true}, Position{Offset: 9}, testStart)
	if ro.Len() != 1 || ro.Servers(allServices, nobodyReports)[0].ID != "b" {
		t.Errorf("servers after the listing: %v, want only b", ro.Servers(allServices, nobodyReports))
	}
}

// After all hosts lost power at once, the records of the earlier runs stay in the log until they
// expire, beside those of the new runs at the same addresses.
func TestServerIsNotListedOnceAnotherStartedAtItsAddress(t *testing.T) {
	earlier, later, elsewhere := server("a"), server("b"), server("c")
	earlier.Born, later.Born, elsewhere.Born = 1000, 2000, 1000
	elsewhere.Address = "10.0.0.2:80"
	for name, order := range map[string][]Server{"in order": {earlier, elsewhere, later}, "late record": {later, elsewhere, earlier}} {
		ro := &Roster{}
		for ix, se := range order {
			ro.Put(se, Position{Offset: int64(ix)})
		}
		if got := ro.Servers(allServices, nobodyReports); len(got) != 2 || got[0].ID != "b" || got[1].ID != "c" {
			t.Errorf("%s: servers %+v, want b and c", name, got)
		}
		ro.Remove("b", Position{Offset: 9}, testStart)
		if got := ro.Servers(allServices, nobodyReports); len(got) != 2 || got[0].ID != "a" {
			t.Errorf("%s: servers %+v after b was removed, want a and c", name, got)
		}
	}
}

func TestServerWithUnknownStartIsListedBesideAnother(t *testing.T) {
	ro := &Roster{}
	known := server("b")
	known.Born = 2000
	ro.Put(server("a"), Position{Offset: 1})
	ro.Put(known, Position{Offset: 2})
	if got := ro.Servers(allServices, nobodyReports); len(got) != 2 {
		t.Errorf("servers %+v, want both", got)
	}
}

// A node that starts may hear of a removal before an older record of the server, which a peer
// sent to it.
func TestRecordOlderThanTheRemovalOfAnUnknownServerIsIgnored(t *testing.T) {
	ro := &Roster{}
	ro.Remove("a", Position{Offset: 7}, testStart)
	if ro.Put(server("a"), Position{Offset: 6}) {
		t.Error("a record older than the removal added the server")
	}
	if !ro.Put(server("a"), Position{Offset: 8}) {
		t.Error("a record newer than the removal was ignored")
	}
}

func TestRememberedRemovalsAreBounded(t *testing.T) {
	ro := &Roster{}
	for ix := range maxRemovals + 100 {
		ro.Remove(strconv.Itoa(ix), Position{Offset: int64(ix)}, testStart)
	}
	if got := len(ro.removals); got != maxRemovals {
		t.Errorf("%d removals are remembered, want %d", got, maxRemovals)
	}
	if ro.Put(server(strconv.Itoa(maxRemovals+99)), Position{Offset: 5}) {
		t.Error("the newest removal was forgotten")
	}
}

// allServices offers every service.
func allServices(string) bool { return true }

// nobodyReports is for servers without agents.
func nobodyReports(*Server) bool { return false }

// A record with the address of a living server and a service that nobody offers must not hide that server.
func TestServerOfAnUnknownServiceHidesNoOther(t *testing.T) {
	ro := Roster{}
	ro.Put(Server{ID: "a", Service: "ledger", Address: "10.0.0.1:1", Born: 1}, Position{Offset: 1})
	ro.Put(Server{ID: "odd", Service: "nobody", Address: "10.0.0.1:1", Born: 2}, Position{Offset: 2})
	if got := ro.Servers(func(service string) bool { return service == "ledger" }, nobodyReports); len(got) != 1 || got[0].ID != "a" {
		t.Errorf("servers %v, want only a", got)
	}
}

// A record hides a server at its address only if it takes all requests that the server would: the answer to the first one
// shows which of the two lives.
func TestRecordThatTakesFewerRequestsHidesNoOther(t *testing.T) {
	for name, change := range map[string]func(se *Server){
		"leaving":       func(se *Server) { se.Leaving = true },
		"another zone":  func(se *Server) { se.Zone = "elsewhere" },
		"another model": func(se *Server) { se.Model = "another" },
		"same":          func(*Server) {},
	} {
		ro, earlier, odd := Roster{}, server("a"), server("odd")
		earlier.Born, odd.Born = 1, 2
		change(&odd)
		ro.Put(earlier, Position{Offset: 1})
		ro.Put(odd, Position{Offset: 2})
		if got := len(ro.Servers(allServices, nobodyReports)); (got == 1) != (name == "same") {
			t.Errorf("%s: %d servers", name, got)
		}
	}
}

// What is reported from beside a server outranks all records with its address. A reported server of another service
// leaves nobody out.
func TestReportedServerIsListedWhateverRecordsSay(t *testing.T) {
	for name, tc := range map[string]struct {
		reported map[string]bool
		want     string
	}{
		"none":            {want: "[other service] [same start] [started later] [unknown start]"},
		"living":          {reported: map[string]bool{"living": true, "same start": true}, want: "[living] [other service] [same start]"},
		"next run":        {reported: map[string]bool{"started later": true}, want: "[other service] [started later]"},
		"another service": {reported: map[string]bool{"other service": true}, want: "[other service] [same start] [started later] [unknown start]"},
	} {
		ro := Roster{}
		for ix, se := range []Server{
			{ID: "living", Service: "advice", Address: "10.0.0.1:1", Born: 5, Leaving: true}, {ID: "same start", Service: "advice", Address: "10.0.0.1:1", Born: 5, Zone: "b"},
			{ID: "started later", Service: "advice", Address: "10.0.0.1:1", Born: 6}, {ID: "unknown start", Service: "advice", Address: "10.0.0.1:1"},
			{ID: "other service", Service: "ledger", Address: "10.0.0.1:1", Born: 4},
		} {
			ro.Put(se, Position{Offset: int64(ix)})
		}
		list := make([]string, 0, ro.Len())
		for _, se := range ro.Servers(allServices, func(se *Server) bool { return tc.reported[se.ID] }) {
			list = append(list, "["+se.ID+"]")
		}
		if got := strings.Join(list, " "); got != tc.want {
			t.Errorf("%s: %s, want %s", name, got, tc.want)
		}
	}
}

// A server whose record another writer has replaced is kept for the time in which it writes its own one again.
func TestServerWithAnUnreadableRecordIsKeptForMaxRewriteDelay(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, writesAgain := range map[string]bool{"gone": false, "alive": true} {
		ro := Roster{}
		ro.Put(Server{ID: "a"}, Position{Offset: 1})
		if !ro.MarkUnreadable("a", Position{Offset: 2}, start) || ro.MarkUnreadable("a", Position{Offset: 3}, start.Add(time.Second)) || ro.MarkUnreadable("b", Position{Offset: 4}, start) {
			t.Error("an overwritten record is not reported once, or that of an unknown server is")
		}
		if writesAgain {
			ro.Put(Server{ID: "a"}, Position{Offset: 5})
		}
		ro.Expire(start.Add(MaxRewriteDelay - time.Millisecond))
		if ro.Len() != 1 {
			t.Errorf("%s: the server was dropped before it could write again", name)
		}
		ro.Expire(start.Add(MaxRewriteDelay))
		if (ro.Len() == 1) != writesAgain {
			t.Errorf("%s: %d servers after MaxRewriteDelay", name, ro.Len())
		}
	}
}
