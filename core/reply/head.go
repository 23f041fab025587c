package reply

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/conf"
)

// heads checks the heads of one response as they arrive: those of interim responses and the final one. The library's response does
// not show all that they say.
type heads struct {
	// data holds what has arrived of the present head, line is where its last line begins.
	data []byte
	line int
	// ended is true after the final head, and after an invalid one. err is why that is invalid.
	ended bool
	err   error
}

// add adds bytes that have arrived.
func (hs *heads) add(data []byte) {
	if hs.ended {
		return
	}
	hs.data = append(hs.data, data...)
	for !hs.ended {
		end := bytes.IndexByte(hs.data[hs.line:], '\n')
		if end < 0 {
			break
		}
		line, _ := cutLine(hs.data[hs.line:])
		hs.line += end + 1
		if len(line) == 0 {
			hs.endHead()
		}
	}
	// The library reads no more than that.
	hs.ended = hs.ended || len(hs.data) > conf.HeadBytesMax
}

// endHead checks a head that has arrived, and goes on with the next one if it is that of an interim response.
func (hs *heads) endHead() {
	line, _ := cutLine(hs.data)
	hs.err = CheckHead(hs.data[:hs.line])
	hs.ended = hs.err != nil || IsFinalStatus(statusOf(line))
	hs.data, hs.line = hs.data[hs.line:], 0
}

// check returns ErrInvalid unless all heads up to the final one are valid.
func (hs *heads) check() error {
	if !hs.ended {
		return errors.Wrap(ErrInvalid, "a head without its end")
	}
	return hs.err
}
