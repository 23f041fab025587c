package quota

import (
	"fmt"
	"testing"
	"time"
)

var testLimit = Limit{Version: 1, PerSecond: 1000, Burst: 2000}

// request returns a request of some units whose keeper has a boot ID.
func request(units int64, keeper string) Request {
	return Request{Units: units, Limit: testLimit, Keeper: keeper, Entries: 10, Random: 0.5}
}

// grant lets the holder ask for a request, and grants it an amount.
func grant(t *testing.T, ho *Holder, units, amount int64, keeper string, now time.Time) {
	t.Helper()
	de := ho.Take(request(units, keeper), now)
	if de.Step != Ask {
		t.Fatalf("step %d, want to ask", de.Step)
	}
	ho.Answered(de.Query, Answer{Amount: amount}, now)
	if de := ho.Take(request(units, keeper), now); de.Step != Admit || de.Source != FromKeeper {
		t.Fatalf("step %d by %v after an answer, want an admission by the keeper", de.Step, de.Source)
	}
}

// Units that were not used go back to the keeper that granted them, and to no other: another one never gave them out.
func TestUnusedUnitsGoBackToTheKeeperThatGrantedThem(t *testing.T) {
	for keeper, want := range map[string]int64{"a": 300, "b": 0} {
		ho := &Holder{}
		grant(t, ho, 200, 500, "a", start)
		de := ho.Take(request(400, keeper), start.Add(time.Millisecond))
		if de.Step != Ask || de.Query.Returned != want {
			t.Errorf("step %d with %d units returned to %s, want to ask with %d", de.Step, de.Query.Returned, keeper, want)
		}
	}
	ho := &Holder{}
	grant(t, ho, 200, 500, "a", start)
	if _, _, ok := ho.TakeReturns(start.Add(LeaseTime - 1)); ok {
		t.Error("a lease was returned before its time was over")
	}
	qu, keeper, ok := ho.TakeReturns(start.Add(LeaseTime))
	if !ok || keeper != "a" || qu.Returned != 300 || qu.Amount != 0 {
		t.Errorf("returned %+v to %q, want 300 units to a", qu, keeper)
	}
	if de := ho.Take(request(300, "a"), start.Add(LeaseTime)); de.Step != Ask || de.Query.Returned != 0 {
		t.Errorf("step %d with %d units returned, want to ask with none: they are returned once", de.Step, de.Query.Returned)
	}
}

// A request that did not run is charged nothing, unless the keeper that granted its units has been replaced.
func TestChargeOfARequestThatDidNotRunIsGivenBack(t *testing.T) {
	for _, tc := range []struct {
		charge Charge
		after  time.Duration
		step   Step
		want   int64
	}{
		{Charge{Units: 200, Keeper: "a"}, time.Millisecond, Admit, 0},
		{Charge{Units: 200, Keeper: "a"}, LeaseTime, Ask, 500},
		{Charge{Units: 200, Keeper: "b"}, LeaseTime, Ask, 300},
	} {
		ho := &Holder{}
		grant(t, ho, 200, 500, "a", start)
		ho.GiveBack(tc.charge, start.Add(tc.after))
		de := ho.Take(request(500, "a"), start.Add(tc.after))
		if de.Step != tc.step || de.Query.Returned != tc.want {
			t.Errorf("%+v after %v: step %d with %d returned, want %d with %d", tc.charge, tc.after, de.Step, de.Query.Returned, tc.step, tc.want)
		}
	}
}

// A refusal is remembered, so that requests beyond the limit cost no message.
func TestRefusalIsRememberedUntilThereMayBeRoom(t *testing.T) {
	ho := &Holder{}
	de := ho.Take(request(400, "a"), start)
	ho.Answered(de.Query, Answer{Wait: 300 * time.Millisecond}, start)
	last := time.Duration(0)
	for ix, want := range []Source{FromKeeper, Remembered, Remembered} {
		de := ho.Take(request(400, "a"), start.Add(time.Duration(ix)*time.Millisecond))
		if de.Step != Refuse || de.Source != want || de.Wait <= last {
			t.Errorf("step %d by %v with a wait of %v, want a refusal by %v with more than %v", de.Step, de.Source, de.Wait, want, last)
		}
		last = de.Wait
	}
	if de := ho.Take(request(400, "a"), start.Add(300*time.Millisecond)); de.Step != Ask || de.Query.Amount < 3*400 {
		t.Errorf("step %d for %d units after the wait, want to ask for those that were refused, too", de.Step, de.Query.Amount)
	}
}

// A keeper that does not answer is not asked again for a while, but one that has started since is.
func TestShareIsUsedWhileTheKeeperDoesNotAnswer(t *testing.T) {
	for keeper, want := range map[string]Step{"a": Refuse, "b": Ask, "": Refuse} {
		ho := &Holder{}
		ho.Take(request(400, "a"), start)
		ho.Unanswered(start)
		rq := request(400, keeper)
		rq.Random = 0.99
		if de := ho.Take(rq, start.Add(ShareTime-1)); de.Step != want {
			t.Errorf("keeper %q: step %d, want %d", keeper, de.Step, want)
		}
		if de := ho.Take(request(400, "a"), start.Add(2*ShareTime)); keeper == "a" && de.Step != Ask {
			t.Errorf("step %d once the time of the share is over, want to ask", de.Step)
		}
	}
}

// Requests that arrive while a query is under way wait for it, and the next query asks for all of them.
func TestConcurrentRequestsShareAQuery(t *testing.T) {
	ho := &Holder{}
	first := ho.Take(request(400, "a"), start)
	for range 3 {
		if de := ho.Take(request(400, "a"), start); de.Step != Await {
			t.Fatalf("step %d while a query is under way, want to wait", de.Step)
		}
	}
	ho.Answered(first.Query, Answer{Amount: 400}, start)
	ho.Take(request(400, "a"), start)
	if de := ho.Take(request(400, "a"), start); de.Step != Ask || de.Query.Amount < 2*400 {
		t.Errorf("step %d for %d units, want to ask for those that wait", de.Step, de.Query.Amount)
	}
}

// A request that needs more than the quota allows in a window would never be admitted: it is refused without a query, and
// leaves no debt behind.
func TestRequestThatIsTooLargeIsRefused(t *testing.T) {
	ho := &Holder{}
	if de := ho.Take(request(RequestMax+1, "a"), start); de.Step != Refuse || de.Source != FromLimit {
		t.Errorf("step %d by %v, want a refusal by the limit", de.Step, de.Source)
	}
	ac, an := Account{}.WithQuery(Query{Limit: testLimit, Amount: RequestMax + 1}, 0, start)
	if an.Amount != 0 || ac.level < 0 {
		t.Errorf("%d units granted, level %v, want none", an.Amount, ac.level)
	}
}

// An older version of the routes changes no account: nodes learn of versions at different times.
func TestAccountGoesByTheHighestVersion(t *testing.T) {
	low := Limit{Version: 2, PerSecond: 10, Burst: 20}
	ac, _ := Account{}.WithQuery(Query{Limit: testLimit, Amount: 1}, 0, start)
	ac, _ = ac.WithQuery(Query{Limit: low, Amount: 1}, 0, start)
	ac, an := ac.WithQuery(Query{Limit: testLimit, Amount: 100, Needed: 1}, 0, start)
	if ac.Limit() != low || an.Amount > 20 {
		t.Errorf("limit %+v and %d units granted, want those of version 2", ac.Limit(), an.Amount)
	}
}

// All entry nodes that know the same hosts choose the same keeper, in whatever order they know them, and a host less changes
// the keeper only of those organisations that it kept.
func TestKeeperIsTheSameForAllNodes(t *testing.T) {
	hosts, kept := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"}, map[string]int{}
	for ix := range 1000 {
		name := fmt.Sprint("organisation-", ix)
		keeper := Keeper(name, hosts)
		kept[keeper]++
		if other := Keeper(name, []string{hosts[2], hosts[0], hosts[3], hosts[1]}); other != keeper {
			t.Fatalf("%s is kept by %s and %s", name, keeper, other)
		}
		if other := Keeper(name, hosts[:3]); keeper != hosts[3] && other != keeper {
			t.Fatalf("%s moved from %s to %s when another host left", name, keeper, other)
		}
	}
	for _, host := range hosts {
		if kept[host] < 150 {
			t.Errorf("%s keeps %d of 1000 accounts", host, kept[host])
		}
	}
}

// Decides on requests of 10,000 organisations. The budget is 2 microseconds without an allocation.
func BenchmarkTakeOf10000Organisations(b *testing.B) {
	holders, names := map[string]*Holder{}, make([]string, 10_000)
	for ix := range names {
		names[ix] = fmt.Sprint("organisation-", ix)
		holders[names[ix]] = &Holder{}
	}
	now := start
	b.ReportAllocs()
	for ix := 0; b.Loop(); ix++ {
		ho := holders[names[ix*7919%len(names)]]
		now = now.Add(time.Microsecond)
		if de := ho.Take(request(400, "a"), now); de.Step == Ask {
			ho.Answered(de.Query, Answer{Amount: 400 * int64(ix%3), Wait: time.Millisecond}, now)
		}
	}
}

// Answers queries for 10,000 organisations.
func BenchmarkAccountsOf10000Organisations(b *testing.B) {
	accounts, names := map[string]Account{}, make([]string, 10_000)
	for ix := range names {
		names[ix] = fmt.Sprint("organisation-", ix)
	}
	now := start
	b.ReportAllocs()
	for ix := 0; b.Loop(); ix++ {
		name := names[ix*7919%len(names)]
		now = now.Add(time.Microsecond)
		accounts[name], _ = accounts[name].WithQuery(Query{Limit: testLimit, Amount: 400}, 0, now)
	}
}
