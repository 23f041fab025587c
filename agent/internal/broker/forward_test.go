package broker

import (
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
)

// A part of an answer must not pass for the whole.
func TestReadWholeFailsForLongerAndBrokenAnswers(t *testing.T) {
	for length, whole := range map[int]bool{0: true, 9: true, 10: true, 11: false, 1000: false} {
		if data, err := open(t, &answerBudget{}).readWhole(strings.NewReader(strings.Repeat("x", length)), 10); (err == nil) != whole || whole && len(data) != length {
			t.Errorf("%d bytes: %d, %v, want whole: %v", length, len(data), err, whole)
		}
	}
	if _, err := open(t, &answerBudget{}).readWhole(iotest.ErrReader(errors.New("reset")), 10); err == nil {
		t.Error("a broken answer is whole")
	}
}
