package paths

import (
	"fmt"
	"strings"
	"testing"
)

// newOrganisations returns a built table with organisations of the given keys, in order.
func newOrganisations(keys ...[]string) *Table {
	ta := &Table{}
	for ix, list := range keys {
		or := Organisation{Name: fmt.Sprintf("o-%d", ix), Rank: ix}
		for _, key := range list {
			or.Keys = append(or.Keys, DigestOf(key))
		}
		ta.Organisations = append(ta.Organisations, or)
	}
	return ta.Build()
}

// A key must identify its own organisation and no other one, whatever part of another key it has.
func TestKeyIdentifiesTheFirstOrganisationThatHoldsIt(t *testing.T) {
	long := strings.Repeat("x", 60_000)
	ta := newOrganisations([]string{"alpha", "alpha-2"}, []string{"alpha-", "shared", "shared"}, []string{"shared", long, strings.Repeat("y", hashedAtOnceMax)})
	for key, want := range map[string]string{
		"alpha": "o-0", "alpha-2": "o-0", "alpha-": "o-1", "shared": "o-1", long: "o-2", strings.Repeat("y", hashedAtOnceMax): "o-2",
		"": "", "alph": "", "Alpha": "", "alpha ": "", " alpha": "", "alpha-23": "", long + "x": "", long[1:]: "", "alpha\x00": "",
	} {
		or, ok := ta.OrganisationOf(key)
		if ok != (want != "") || ok && or.Name != want {
			t.Errorf("OrganisationOf(%.20q) = %v, %v, want %q", key, or, ok, want)
		}
	}
	if _, ok := newOrganisations().OrganisationOf("alpha"); ok {
		t.Error("a table without organisations knows a key")
	}
	if (*Table)(nil).HasOrganisations() || newOrganisations().HasOrganisations() || !ta.HasOrganisations() {
		t.Error("HasOrganisations is wrong")
	}
}

// A route's rank must not let an organisation overtake a more urgent one, and no rank may leave the range of the
// engines' priorities.
func TestRankOfOrganisationGoesBeforeThatOfTheRoute(t *testing.T) {
	ta := (&Table{
		Routes:        []Route{{Rank: 0}, {Rank: 2}, {Rank: 1}, {Rank: -4}},
		Organisations: []Organisation{{Rank: 0}, {Rank: 1}, {Rank: 2}, {Rank: 1 << 62}, {Rank: -3}},
	}).Build()
	want := [][]int{{0, 2, 1, 0}, {3, 5, 4, 3}, {6, 8, 7, 6}, {9, 9, 9, 9}, {0, 2, 1, 0}}
	for ix := range ta.Organisations {
		for iy := range ta.Routes {
			if got := ta.RankOf(&ta.Organisations[ix], &ta.Routes[iy]); got != want[ix][iy] {
				t.Errorf("organisation %d, route %d: rank %d, want %d", ix, iy, got, want[ix][iy])
			}
		}
	}
	least := (&Table{Routes: []Route{{Rank: 0}, {Rank: 1}}, Organisations: []Organisation{{Rank: 0}, {Rank: 2}}}).Build()
	if got := least.RankOf(nil, &least.Routes[1]); got != 5 {
		t.Errorf("without an organisation: rank %d, want that of the least urgent one, 5", got)
	}
}

// newLargeTable returns a table of 10,000 organisations with two keys each, and one of the keys.
func newLargeTable() (*Table, string) {
	keys := make([][]string, 10_000)
	for ix := range keys {
		keys[ix] = []string{fmt.Sprintf("bl-live-%032d-a", ix), fmt.Sprintf("bl-live-%032d-b", ix)}
	}
	return newOrganisations(keys...), keys[7_777][1]
}

func TestKeyIsLookedUpWithoutAllocation(t *testing.T) {
	ta, key := newLargeTable()
	found := false
	allocations := testing.AllocsPerRun(100, func() { _, found = ta.OrganisationOf(key) })
	if allocations != 0 || !found {
		t.Errorf("%v allocations, found %v", allocations, found)
	}
}

func BenchmarkOrganisationOf(b *testing.B) {
	ta, key := newLargeTable()
	for name, tried := range map[string]string{"known": key, "unknown": key + "x", "longest": strings.Repeat("x", hashedAtOnceMax)} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = ta.OrganisationOf(tried)
			}
		})
	}
}
