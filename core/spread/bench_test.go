package spread

import (
	"strconv"
	"testing"

	"github.com/bambooladder/bambooladder/core/grant"
)

// targetEngines is the number of engines at the target size.
const targetEngines = 6500

func BenchmarkChoose(b *testing.B) {
	fl := &Fleet{}
	for ix := range targetEngines {
		id := "engine-" + strconv.Itoa(ix)
		fl.Put(Server{ID: id, Service: "advice", Zone: "z" + strconv.Itoa(ix%6), Region: "r1", Engine: true, Model: "m", Born: 1})
		fl.AgentReported(id, Load{Load: grant.Load{Known: true, Model: "m", Slots: 6, MemoryFree: 100_000}, ReportedAt: start}, []AdapterSlot{})
	}
	rq := requestFor("x")
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := fl.Choose(rq, start); !ok {
			b.Fatal("no server was chosen")
		}
	}
}
