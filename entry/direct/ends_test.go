package direct

import "testing"

// A service is taken to send streams without framing only while a good part of its last ones came so.
func TestFramingFollowsTheLastStreamsOfAService(t *testing.T) {
	fr := framing{}
	record := func(service string, framed bool, count int) {
		for range count {
			fr.record(service, framed)
		}
	}
	record("advice", true, 100)
	record("advice", false, 1)
	if fr.usuallyUnframed("advice") {
		t.Error("one stream without framing among a hundred is usual")
	}
	record("ledger", false, 10)
	if !fr.usuallyUnframed("ledger") || fr.usuallyUnframed("advice") {
		t.Error("a service that never frames is not told from one that does")
	}
	record("ledger", true, 100)
	if fr.usuallyUnframed("ledger") {
		t.Error("a hundred framed streams do not outweigh ten earlier ones without framing")
	}
}
