package paths

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

func table(prefixes ...string) *Table {
	ta := &Table{Services: map[string]Service{}}
	for _, prefix := range prefixes {
		ta.Routes = append(ta.Routes, Route{Name: prefix, Host: "shop.example", Prefix: prefix})
	}
	return ta.Build()
}

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	ta := table("/", "/aa/", "/aa/bb/")
	for path, want := range map[string]string{
		"/aa/bb/cc": "/aa/bb/", "/aa/bb/": "/aa/bb/", "/aa/bb": "/aa/", "/aa/x": "/aa/", "/aa": "/", "/zz/aa/": "/",
	} {
		ro, ok := ta.Match("shop.example", path)
		if !ok || ro.Prefix != want {
			t.Errorf("Match(%q) = %v, %v, want %q", path, ro, ok, want)
		}
	}
	if _, ok := ta.Match("other.example", "/aa/"); ok {
		t.Error("a request for another host matched")
	}
	if _, ok := ta.Match("Shop.Example:8080", "/aa/x"); !ok {
		t.Error("the port and the case of the host count")
	}
}

func TestMatchAgreesWithASearchOfAllPrefixes(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	path := gen.SliceOf(gen.OneConstOf("a", "b", "")).Map(func(parts []string) string {
		joined := "/"
		for _, part := range parts {
			joined += part + "/"
		}
		return joined
	})
	properties.Property("the longest prefix wins", prop.ForAll(func(prefixes []string, wanted string) bool {
		ta := table(prefixes...)
		best := ""
		for _, prefix := range prefixes {
			if len(prefix) > len(best) && len(wanted) >= len(prefix) && wanted[:len(prefix)] == prefix {
				best = prefix
			}
		}
		ro, ok := ta.Match("shop.example", wanted)
		return ok == (best != "") && (!ok || ro.Prefix == best)
	}, gen.SliceOf(path), path))
	properties.TestingRun(t)
}

func TestServiceFollowsTheWeights(t *testing.T) {
	ro := Route{Splits: []Split{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}}
	if got := ro.Service(0.89); got != "old" {
		t.Errorf("Service(0.89) = %q", got)
	}
	if got := ro.Service(0.91); got != "new" {
		t.Errorf("Service(0.91) = %q", got)
	}
	if got := (&Route{Splits: []Split{{Service: "only"}}}).Service(0.5); got != "only" {
		t.Errorf("a single service without weight is not chosen: %q", got)
	}
}
