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

// TestVoidedAttemptNeverRunsAndRunAttemptIsNeverVoided tries random orders of dispatch, void,
// start and end, while the log time and the clock advance independently.
func TestVoidedAttemptNeverRunsAndRunAttemptIsNeverVoided(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("a voided attempt never runs and an attempt that ran is never voided", prop.ForAll(func(seed uint64) string {
		rd := rand.New(rand.NewPCG(seed, 1))
		ta := NewTable("boot")
		now, logTime := time.Unix(0, 0), int64(1_000_000)
		claimedAt := logTime
		ran, voided, admitted := false, false, false
		for range 60 {
			now = now.Add(time.Duration(rd.IntN(120)) * time.Second)
			if rd.IntN(2) == 0 {
				logTime += int64(rd.IntN(120_000))
				ta.AdvanceLogTime(logTime)
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
						return "voided after it ran"
					}
				}
			}
		}
		return ""
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func TestAdmitAcceptsNewAttemptsAndRefusesOthers(t *testing.T) {
	ta, now := NewTable("boot"), time.Unix(0, 0)
	ta.AdvanceLogTime(10 * MaxClaimAge.Milliseconds())
	cases := []struct {
		name string
		di   wire.Dispatch
		want Decision
	}{
		{"another boot", wire.Dispatch{Attempt: "a", Boot: "earlier"}, WrongBoot},
		{"claim older than MaxClaimAge", wire.Dispatch{Attempt: "b", Boot: "boot", ClaimedAt: 1}, ClaimTooOld},
		{"new attempt", wire.Dispatch{Attempt: "c", Boot: "boot"}, Accept},
		{"same attempt again", wire.Dispatch{Attempt: "c", Boot: "boot"}, Duplicate},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if got := ta.Admit(&tc.di, now); got != tc.want {
				t.Fatalf("Admit = %s, want %s", got, tc.want)
			}
		})
	}
	if got := ta.Void(&wire.Void{Attempt: "d", Boot: "earlier"}, now); got != wire.VerdictOutcomeUnknown {
		t.Fatalf("Void of an attempt for another boot = %s, want unknown", got)
	}
}

// The sender of a void counts the retention from the void, not from the end of the attempt before.
func TestVoidedAttemptIsKeptForTheRetentionAfterTheVoid(t *testing.T) {
	ta := NewTable("boot")
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	di := &wire.Dispatch{Boot: "boot", Attempt: "a"}
	ta.Admit(di, now)
	ta.End("a", Refused, now)
	voided := now.Add(UnclaimedRetention - time.Second)
	if got := ta.Void(&wire.Void{Boot: "boot", Attempt: "a"}, voided); got != wire.VerdictOutcomeVoided {
		t.Fatalf("verdict %s, want voided", got)
	}
	if got := ta.Admit(di, now.Add(UnclaimedRetention)); got != WasVoided {
		t.Errorf("decision %s a second after the void, want %s", got, WasVoided)
	}
	if got := ta.Admit(di, voided.Add(UnclaimedRetention)); got != Accept {
		t.Errorf("decision %s after the retention, want %s", got, Accept)
	}
}
