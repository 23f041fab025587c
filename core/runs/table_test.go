package runs

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/bambooladder/bambooladder/core/wire"
)

// TestVoidedAttemptNeverRuns holds over random orders of dispatch, void, start and
// end, with log time and clock moving at their own pace.
func TestVoidedAttemptNeverRuns(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("no run after a void and no void after a run", prop.ForAll(func(seed uint64) string {
		rd := rand.New(rand.NewPCG(seed, 1))
		ta := NewTable("boot")
		now, logTime := time.Unix(0, 0), int64(1_000_000)
		claimedAt := logTime
		ran, voided, admitted := false, false, false
		for range 60 {
			now = now.Add(time.Duration(rd.IntN(120)) * time.Second)
			if rd.IntN(2) == 0 {
				logTime += int64(rd.IntN(120_000))
				ta.SeeLogTime(logTime)
			}
			switch rd.IntN(4) {
			case 0:
				if ta.Admit(&wire.Dispatch{Attempt: "one", Boot: "boot", ClaimedAt: claimedAt}, now) == Accept {
					if admitted {
						return "accepted twice"
					}
					admitted = true
				}
			case 1:
				if admitted && !ran && ta.Start("one") {
					ran = true
					if voided {
						return "ran after it was voided"
					}
				}
			case 2:
				if ran {
					ta.End("one", Finished, now)
				}
			case 3:
				outcome := ta.Void(&wire.Void{Attempt: "one", Boot: "boot", ClaimedAt: claimedAt}, now)
				if outcome == wire.VerdictOutcomeVoided {
					voided = true
					if ran {
						return "said to be voided after it ran"
					}
				}
			}
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestAdmitDecisions(t *testing.T) {
	ta, now := NewTable("boot"), time.Unix(0, 0)
	ta.SeeLogTime(10 * ClaimAgeMax.Milliseconds())
	cases := []struct {
		name string
		di   wire.Dispatch
		want Decision
	}{
		{"another boot", wire.Dispatch{Attempt: "a", Boot: "earlier"}, WrongBoot},
		{"old claim", wire.Dispatch{Attempt: "b", Boot: "boot", ClaimedAt: 1}, TooOld},
		{"first", wire.Dispatch{Attempt: "c", Boot: "boot"}, Accept},
		{"again", wire.Dispatch{Attempt: "c", Boot: "boot"}, Duplicate},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if got := ta.Admit(&tc.di, now); got != tc.want {
				t.Fatalf("decision %s instead of %s", got, tc.want)
			}
		})
	}
	if got := ta.Void(&wire.Void{Attempt: "d", Boot: "earlier"}, now); got != wire.VerdictOutcomeUnknown {
		t.Fatalf("an attempt of another boot is %s", got)
	}
}
