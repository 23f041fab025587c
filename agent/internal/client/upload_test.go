package client

import (
	"io"
	"net/http"
	"testing"

	"github.com/bambooladder/bambooladder/core/reply/fakes"
	"github.com/bambooladder/bambooladder/core/wire"
)

// upload returns a function that sends a long request.
func upload(t *testing.T) fakes.Upload {
	return func(address string) (int, string, error) {
		di := &wire.Dispatch{Attempt: "a", Method: http.MethodPost, Path: "/", Body: make([]byte, fakes.UploadBytes)}
		resp, err := NewClient(&http.Transport{}, "http://"+address).Forward(t.Context(), di, "")
		if err != nil {
			return 0, "", err
		}
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		return resp.StatusCode, string(data), err
	}
}

// A server answers a long upload at once, without a length, and resets the connection while the rest of the upload is being
// written. What has arrived must not pass for the whole answer.
func TestForwardTakesNoAnswerThatIsResetBesideItsUploadForWhole(t *testing.T) {
	fakes.CheckReset(t, upload(t))
}

func TestForwardTakesAnEarlyAnswerToAnUploadForWhole(t *testing.T) { fakes.CheckEarly(t, upload(t)) }

func TestForwardTakesARefusalOfAnUploadWithALengthForWhole(t *testing.T) {
	fakes.CheckRefusal(t, upload(t))
}

func TestForwardTakesAnAnswerAfterInterimAnswersForWhole(t *testing.T) {
	fakes.CheckInterim(t, upload(t))
}
