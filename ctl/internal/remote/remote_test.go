package remote

import (
	"testing"

	"github.com/bambooladder/bambooladder/core/reply/fakes"
)

// Something else at the address of an entry node sends an invalid head. That must not be taken for settings.
func TestAnswerWithAnInvalidHeadIsAnError(t *testing.T) {
	fakes.ServeInvalid(t, `{}`, func(address, answer string) {
		if st, err := NewClient("http://"+address, "token").Settings(t.Context()); err == nil {
			t.Errorf("%q: settings %+v", answer, st)
		}
	})
}
