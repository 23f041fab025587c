package remote

import (
	"testing"

	"github.com/bambooladder/bambooladder/core/reply/fakes"
)

// What answers in place of an entry node sends a head that is none. It is no state of the settings.
func TestAnswerWithAnInvalidHeadIsAnError(t *testing.T) {
	fakes.ServeInvalid(t, `{}`, func(address, answer string) {
		if st, err := NewClient("http://"+address, "token").Settings(t.Context()); err == nil {
			t.Errorf("%q: settings %+v", answer, st)
		}
	})
}
