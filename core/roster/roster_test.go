package roster

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func server(id string) Server { return Server{ID: id, Service: "ledger", Address: "10.0.0.1:80"} }

func TestRemovalIsBelievedWhileTheLogIsSound(t *testing.T) {
	ro := &Roster{}
	ro.Put(server("a"), 1)
	ro.Remove("a", 2, start)
	if ro.Len() != 0 {
		t.Error("a removed server is still there")
	}
}

func TestAnOlderRecordDoesNotBringAServerBack(t *testing.T) {
	ro := &Roster{}
	ro.Put(server("a"), 5)
	ro.Remove("a", 7, start)
	if ro.Put(server("a"), 6) {
		t.Error("a stale read brought a removed server back")
	}
	if !ro.Put(server("a"), 8) {
		t.Error("a newer record was not taken")
	}
}

func TestRecordsThatLapsedDuringAnOutageMayReturn(t *testing.T) {
	ro := &Roster{}
	ro.Put(server("a"), 1)
	ro.Put(server("b"), 2)
	ro.Disturbed()
	ro.Remove("a", 3, start)
	ro.Remove("b", 4, start)
	if ro.Len() != 2 {
		t.Fatal("the last known servers do not serve during the outage")
	}
	back := start.Add(4 * time.Second)
	ro.Undisturbed(back)
	ro.Expire(back.Add(ReturnMax / 2))
	if ro.Len() != 2 {
		t.Fatal("the servers had no time to return")
	}
	ro.Put(server("a"), 5)
	ro.Expire(back.Add(ReturnMax))
	if ro.Len() != 1 || ro.Servers()[0].ID != "a" {
		t.Errorf("after the return: %v", ro.Servers())
	}
}

func TestARunThatLeavesStaysLeaving(t *testing.T) {
	ro := &Roster{}
	leaving := server("a")
	leaving.Born, leaving.Leaving = 7, true
	ro.Put(leaving, 1)
	ready := server("a")
	ready.Born = 7
	ro.Put(ready, 2)
	if !ro.Servers()[0].Leaving {
		t.Error("a late record undid a drain")
	}
	ready.Born = 9
	ro.Put(ready, 3)
	if ro.Servers()[0].Leaving {
		t.Error("a new run is believed to leave")
	}
}

func TestAListingRemovesWhatItLacks(t *testing.T) {
	ro := &Roster{}
	ro.Put(server("a"), 1)
	ro.Put(server("b"), 2)
	ro.Listed(map[string]bool{"b": true}, 9, start)
	if ro.Len() != 1 || ro.Servers()[0].ID != "b" {
		t.Errorf("after the listing: %v", ro.Servers())
	}
}
