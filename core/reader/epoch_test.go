package reader

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Whatever epochs answers state, in any order, the present one never falls, and each later one than the
// first answer's counts as risen, also if that answer stated none.
func TestPresentEpochNeverFalls(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("never falls", prop.ForAll(func(epochs []int64) bool {
		er, highest := Epochs{}, int64(0)
		for ix, epoch := range epochs {
			next, verdict := er.WithAnswer(epoch)
			want := EpochPresent
			switch {
			case epoch < highest:
				want = EpochInvalid
			case epoch > highest && ix > 0:
				want = EpochRisen
			}
			highest = max(highest, epoch)
			if verdict != want || next.Present() != highest {
				return false
			}
			er = next
		}
		return true
	}, gen.SliceOf(gen.Int64Range(0, 5))))
	properties.TestingRun(t)
}
