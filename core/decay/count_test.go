package decay

import (
	"testing"
	"time"
)

func TestTheWeightOfThePastHalves(t *testing.T) {
	now := time.Unix(1000, 0)
	co := Count{}.Plus(now, time.Second).Plus(now, time.Second)
	if got := co.At(now.Add(time.Second), time.Second); got != 1 {
		t.Errorf("two events weigh %v after a half-life", got)
	}
	if got := (Count{}).At(now, time.Second); got != 0 {
		t.Errorf("no event weighs %v", got)
	}
}
