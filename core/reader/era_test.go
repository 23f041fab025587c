package reader

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Whatever eras answers state, in any order, the present one never falls, and each later one than the
// first answer's counts as risen, also if that answer stated none.
func TestPresentEraNeverFalls(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("never falls", prop.ForAll(func(eras []int64) bool {
		er, highest := Eras{}, int64(0)
		for ix, era := range eras {
			next, verdict := er.WithAnswer(era)
			want := EraPresent
			switch {
			case era < highest:
				want = EraInvalid
			case era > highest && ix > 0:
				want = EraRisen
			}
			highest = max(highest, era)
			if verdict != want || next.Present() != highest {
				return false
			}
			er = next
		}
		return true
	}, gen.SliceOf(gen.Int64Range(0, 5))))
	properties.TestingRun(t)
}
