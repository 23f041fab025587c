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
	// KeyLifetime is the age at which a key expires. It is a part of the stream's format:
	// readers with different values would disagree on which claim won.
	KeyLifetime = time.Hour
	// StreamCount is the number of claim streams. It is a part of the format as well: with
	// another number, a key would map to another stream, which lacks its first claim.
	StreamCount = 16
	// MaxClockSkew is how far a key's time may be ahead of the log time.
	MaxClockSkew = 5 * time.Minute

	maxKeyBytes  = 256
	expiryPrefix = "exp-"
)

// StreamOf returns the number of the stream that has the claims for a key, as Key returns it.
func StreamOf(streamKey string) int {
	return int(xxh3.HashString(streamKey) % StreamCount)
}

// KeyTime returns the time that a caller's key contains, in Unix milliseconds. A key is a
// UUID of version 7, or exp-<Unix seconds>-<name> with the time at which the key expires. In
// the second case KeyTime returns the expiry less KeyLifetime, so that an expiry more than
// KeyLifetime plus MaxClockSkew ahead is refused.
func KeyTime(callerKey string) (int64, error) {
	if len(callerKey) > maxKeyBytes {
		return 0, invalidKeyError("the key is longer than 256 bytes")
	}
	if rest, found := strings.CutPrefix(callerKey, expiryPrefix); found {
		expiryText, name, _ := strings.Cut(rest, "-")
		seconds, err := strconv.ParseInt(expiryText, 10, 64)
		if err != nil || name == "" {
			return 0, invalidKeyError("the key's expiry cannot be read")
		}
		return seconds*int64(time.Second/time.Millisecond) - KeyLifetime.Milliseconds(), nil
	}
	id, err := uuid.Parse(callerKey)
	if err != nil || id.Version() != 7 {
		return 0, invalidKeyError("the key carries no time")
	}
	millis := int64(0)
	for _, by := range id[:6] {
		millis = millis<<8 | int64(by)
	}
	return millis, nil
}

// invalidKeyError returns the error for a malformed key.
func invalidKeyError(message string) *fault.Error {
	return fault.New(fault.KeyInvalid, message, "send a UUID of version 7, or exp-<Unix seconds>-<name>")
}

// expired reports whether a key with the given time is expired at the given log time.
func expired(keyTime, logTime int64) bool {
	return logTime > keyTime+KeyLifetime.Milliseconds()
}

// tooFarAhead reports whether a key's time is more than MaxClockSkew ahead of the log time.
func tooFarAhead(keyTime, logTime int64) bool {
	return keyTime > logTime+MaxClockSkew.Milliseconds()
}
