package paths

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// newTable returns a built table with one route for each prefix, all of one host.
func newTable(prefixes ...string) *Table {
	ta := &Table{Services: map[string]Service{}}
	for _, prefix := range prefixes {
		ta.Routes = append(ta.Routes, Route{Name: prefix, Host: "shop.example", Prefix: prefix})
	}
	return ta.Build()
}

func TestMatchReturnsRouteWithLongestPrefix(t *testing.T) {
	ta := newTable("/", "/aa/", "/aa/bb/")
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
		t.Error("a host with a port and upper-case letters did not match")
	}
}

func TestMatchAgreesWithLinearSearchOfAllPrefixes(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	properties := gopter.NewProperties(parameters)
	pathGen := gen.SliceOf(gen.OneConstOf("a", "b", "")).Map(func(parts []string) string {
		joined := "/"
		for _, part := range parts {
			joined += part + "/"
		}
		return joined
	})
	properties.Property("the longest prefix wins", prop.ForAll(func(prefixes []string, requestPath string) bool {
		ta := newTable(prefixes...)
		longest := ""
		for _, prefix := range prefixes {
			if len(prefix) > len(longest) && len(requestPath) >= len(prefix) && requestPath[:len(prefix)] == prefix {
				longest = prefix
			}
		}
		ro, ok := ta.Match("shop.example", requestPath)
		return ok == (longest != "") && (!ok || ro.Prefix == longest)
	}, gen.SliceOf(pathGen), pathGen))
	properties.TestingRun(t)
}

func TestServicePicksByWeightAndReturnsLastServiceWithoutWeights(t *testing.T) {
	ro := Route{Splits: []Split{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}}
	if got := ro.Service(0.89); got != "old" {
		t.Errorf("Service(0.89) = %q, want old", got)
	}
	if got := ro.Service(0.91); got != "new" {
		t.Errorf("Service(0.91) = %q, want new", got)
	}
	if got := (&Route{Splits: []Split{{Service: "only"}}}).Service(0.5); got != "only" {
		t.Errorf("Service(0.5) = %q for a single service without weight, want only", got)
	}
}
