package roster

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// logEntry is a record of a server, or its removal.
type logEntry struct {
	id      int
	removed bool
	value   int
}

// entriesOf makes entries of random numbers.
func entriesOf(numbers []int) []logEntry {
	entries := make([]logEntry, 0, len(numbers))
	for _, number := range numbers {
		entries = append(entries, logEntry{id: number % 3, removed: number/3%4 == 0, value: number / 12 % 3})
	}
	return entries
}

// server returns the record of an entry.
func (le logEntry) server() Server {
	return Server{
		ID: fmt.Sprint(le.id), Address: "10.0.0.1:1", Places: 1 + le.value/2, Leaving: le.value%2 == 1,
		Adapters: []Adapter{{Name: "a", Version: le.value}},
	}
}

// stateAfter returns the servers after entries, adapters aside.
func stateAfter(entries []logEntry) map[string]Server {
	state := map[string]Server{}
	for _, le := range entries {
		se := le.server()
		se.Adapters = nil
		state[se.ID] = se
		if le.removed {
			delete(state, se.ID)
		}
	}
	return state
}

// A node that gets only the records that say anything new must know the same as one that reads all of them, from
// wherever in the log it begins, whatever the reading node has learned in other ways.
func TestRecordsThatSayNothingNewCanBeLeftOut(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("the states agree", prop.ForAll(func(numbers []int, from int) bool {
		entries := entriesOf(numbers)
		from = min(from, len(entries))
		pu := Published{}
		passed := append([]logEntry(nil), entries[:from]...)
		for ix, le := range entries {
			news := true
			if le.removed {
				pu.Remove(fmt.Sprint(le.id))
			} else {
				news = pu.Put(le.server())
			}
			if ix >= from && news {
				passed = append(passed, le)
			}
		}
		return reflect.DeepEqual(stateAfter(passed), stateAfter(entries))
	}, gen.SliceOf(gen.IntRange(0, 107)), gen.IntRange(0, 40)))
	properties.TestingRun(t)
}

// Engines write their records again whenever they load an adapter; that alone is not passed on.
func TestRecordsThatDifferInAdaptersAloneSayNothingNew(t *testing.T) {
	pu := Published{}
	if !pu.Put(Server{ID: "i-1", Adapters: []Adapter{{Name: "a1", Version: 1}}}) || pu.Put(Server{ID: "i-1"}) {
		t.Error("a record is news if only its adapters have changed, or not if it is the first one")
	}
	pu.Clear()
	if !pu.Put(Server{ID: "i-1"}) {
		t.Error("a record is not news after all were forgotten")
	}
}
