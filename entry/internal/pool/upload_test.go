package pool

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/bambooladder/bambooladder/core/reply/fakes"
)

// upload returns a function that sends a long request.
func upload(t *testing.T) fakes.Upload {
	return func(address string) (int, string, error) {
		ctx, cancel := context.WithTimeout(t.Context(), exchangeTimeout)
		defer cancel()
		co, err := New(&net.Dialer{}, 0).Get(ctx, address, Want{})
		if err != nil {
			return 0, "", err
		}
		rq := &Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, fakes.UploadBytes)}
		an, err := co.Do(ctx, rq, func(http.Header) bool { return true })
		if err != nil {
			return 0, "", err
		}
		defer an.Close()
		data, err := io.ReadAll(an.Body)
		return an.Status, string(data), err
	}
}

// A server answers a long upload at once, without a length, and resets the connection while the rest of the upload is being
// written. What has arrived must not pass for the whole answer.
func TestAnswerThatIsResetWhileTheUploadIsWrittenIsNotWhole(t *testing.T) {
	fakes.CheckReset(t, upload(t))
}

func TestEarlyAnswerToAnUploadIsWhole(t *testing.T) { fakes.CheckEarly(t, upload(t)) }

func TestRefusalOfAnUploadWithALengthIsWhole(t *testing.T) { fakes.CheckRefusal(t, upload(t)) }

func TestAnswerAfterInterimAnswersIsWhole(t *testing.T) { fakes.CheckInterim(t, upload(t)) }
