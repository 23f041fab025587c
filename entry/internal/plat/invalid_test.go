package plat

import (
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/reply"
	"github.com/bambooladder/bambooladder/core/reply/fakes"
)

// The platform in trouble answers with a head that is none. No host nor record is taken from it, and an append may have happened.
func TestAnswerOfThePlatformWithAnInvalidHeadIsAnError(t *testing.T) {
	hc := reply.NewClient(&http.Transport{})
	fakes.ServeInvalid(t, `{"hosts":[],"first":0,"next":4,"records":[]}`, func(address, answer string) {
		if list, err := NewHosts(hc, "http://"+address, zerolog.Nop()).List(t.Context()); err == nil {
			t.Errorf("%q: hosts %v", answer, list)
		}
		lo := NewLog(hc, "http://"+address)
		if page, err := lo.Read(t.Context(), "s", 0, 0); err == nil || errors.Is(err, ErrExpired) {
			t.Errorf("%q: page %+v, error %v", answer, page, err)
		}
		if err := lo.Append(t.Context(), "s", nil); err == nil || errors.Is(err, ErrNotAppended) {
			t.Errorf("%q: an append has the result %v", answer, err)
		}
	})
}
