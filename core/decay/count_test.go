package decay

import (
	"testing"
	"time"
)

func TestACountHalvesAfterAHalfLife(t *testing.T) {
	now := time.Unix(1000, 0)
	co := Count{}.Plus(now, time.Second).Plus(now, time.Second)
	if got := co.At(now.Add(time.Second), time.Second); got != 1 {
		t.Errorf("the count of two events is %v after a half-life, want 1", got)
	}
	if got := (Count{}).At(now, time.Second); got != 0 {
		t.Errorf("the count of no events is %v, want 0", got)
	}
}
