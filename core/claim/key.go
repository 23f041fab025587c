package claim

import (
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/xxh3"

	"github.com/bambooladder/bambooladder/core/fault"
)

const (
	// Window is the age at which a key expires. It is a constant of the stream's
	// format: readers with different windows would disagree on who won.
	Window = time.Hour
	// Streams is the number of claim streams. It is a constant as well: another
	// number would send a key to another stream, where its first claim is unknown.
	Streams = 16
	// SkewMax is how far a key's time may lie ahead of the log's.
	SkewMax = 5 * time.Minute

	keyBytesMax  = 256
	expiryPrefix = "exp-"
)

// StreamOf returns the number of the stream that carries a key's claims.
func StreamOf(key string) int {
	return int(xxh3.HashString(key) % Streams)
}

// KeyTime reads the time a key carries, in Unix milliseconds. A key is a UUID of
// version 7, or exp-<Unix seconds>-<anything> with the time at which it expires.
func KeyTime(key string) (int64, error) {
	if len(key) > keyBytesMax {
		return 0, invalidKey("the key is longer than 256 bytes")
	}
	if rest, found := strings.CutPrefix(key, expiryPrefix); found {
		digits, name, _ := strings.Cut(rest, "-")
		seconds, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || name == "" {
			return 0, invalidKey("the key's expiry cannot be read")
		}
		return seconds*int64(time.Second/time.Millisecond) - Window.Milliseconds(), nil
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return 0, invalidKey("the key carries no time")
	}
	millis := int64(0)
	for _, by := range id[:6] {
		millis = millis<<8 | int64(by)
	}
	return millis, nil
}

// invalidKey returns the error for a key that cannot be used.
func invalidKey(message string) *fault.Error {
	return fault.New(fault.KeyInvalid, message, "send a UUID of version 7, or exp-<Unix seconds>-<name>")
}

// expired tells whether a key of that time can be claimed no more at a log time.
func expired(keyTime, logTime int64) bool {
	return logTime > keyTime+Window.Milliseconds()
}

// early tells whether a key's time lies too far ahead of the log's.
func early(keyTime, logTime int64) bool {
	return keyTime > logTime+SkewMax.Milliseconds()
}
