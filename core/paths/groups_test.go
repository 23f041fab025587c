package paths

import (
	"reflect"
	"testing"
)

// streamRoute returns a route of resumable streams that leads to services.
func streamRoute(name string, services ...string) Route {
	ro := Route{Name: name, Kind: Stream, Resumable: true}
	for _, service := range services {
		ro.Splits = append(ro.Splits, Split{Service: service, Weight: 1})
	}
	return ro
}

func TestSharedServicesListsEachSetOfResumableRoutesOnce(t *testing.T) {
	once := streamRoute("once", "x", "y")
	once.Resumable = false
	ta := &Table{Routes: []Route{streamRoute("a", "one"), streamRoute("b", "two", "one"), streamRoute("c", "one", "two"), once, streamRoute("d", "one", "one")}}
	if got, want := ta.SharedServices(), [][]string{{"one", "two"}}; !reflect.DeepEqual(got, want) {
		t.Errorf("sets %v, want %v", got, want)
	}
}

func TestMovedServicesJoinsWhatARouteLedToAndLeadsTo(t *testing.T) {
	earlier := &Table{Routes: []Route{streamRoute("a", "one"), streamRoute("b", "two"), streamRoute("gone", "five")}}
	ta := &Table{Routes: []Route{streamRoute("a", "three"), streamRoute("b", "two"), streamRoute("new", "four")}}
	if got, want := ta.MovedServices(earlier), [][]string{{"one", "three"}}; !reflect.DeepEqual(got, want) {
		t.Errorf("sets %v, want %v", got, want)
	}
}
