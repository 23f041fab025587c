package roster

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Whatever the order of records, removals, listings and restores is, and however late records of
// earlier epochs arrive, a run that was removed is not listed again by a record of the copy, and a
// leaving run never becomes ready.
func TestRecordsOfAnEarlierEpochOrOfTheCopyUndoNothing(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("nothing is undone", prop.ForAll(func(codes []int) string {
		ro, now := &Roster{}, testStart
		epoch, offset := int64(1), int64(100)
		left := map[string]int64{}
		for _, code := range codes {
			now = now.Add(50 * time.Millisecond)
			id, born := strconv.Itoa(code%3), int64(code/3%3)+1
			offset++
			switch code / 9 % 5 {
			case 0:
				if born > left[id] {
					ro.Put(Server{ID: id, Born: born}, Position{Epoch: epoch, Offset: offset})
				}
			case 1:
				if born > left[id] && ro.Put(Server{ID: id, Born: born, Leaving: true}, Position{Epoch: epoch, Offset: offset}) {
					left[id] = born
				}
			case 2:
				if ts := ro.servers[id]; ts != nil {
					left[id] = max(left[id], ts.Born)
					ro.Remove(id, Position{Epoch: epoch, Offset: offset}, now)
				}
			case 3:
				epoch++
				offset = 50
				ro.MarkRestored(Position{Epoch: epoch, Offset: offset}, now)
			case 4:
				// A record of the copy, or one of an earlier epoch that arrives late.
				ro.Put(Server{ID: id, Born: born}, Position{Epoch: epoch - int64(code%2), Offset: int64(code % 50)})
			}
			for _, se := range ro.Servers(allServices, nobodyReports) {
				if ts := ro.servers[se.ID]; se.Born <= left[se.ID] && !se.Leaving && ts.missingSince.IsZero() {
					return fmt.Sprintf("after %d in epoch %d, run %d of %s is ready, but run %d has left", code, epoch, se.Born, se.ID, left[se.ID])
				}
			}
		}
		return ""
	}, gen.SliceOfN(60, gen.IntRange(0, 449))))
	properties.TestingRun(t)
}

func TestServerMissingInTheCopyIsKeptForMaxRewriteDelay(t *testing.T) {
	ro := &Roster{}
	ro.Put(Server{ID: "a"}, Position{Epoch: 1, Offset: 90})
	end := Position{Epoch: 2, Offset: 40}
	ro.MarkRestored(end, testStart)
	ro.ApplyListing(map[string]bool{}, end, testStart)
	ro.Expire(testStart.Add(MaxRewriteDelay - time.Millisecond))
	if ro.Len() != 1 {
		t.Fatal("the server is gone before it could write its record again")
	}
	ro.Expire(testStart.Add(MaxRewriteDelay))
	if ro.Len() != 0 {
		t.Fatal("the server is still listed")
	}
	if !ro.Put(Server{ID: "a"}, Position{Epoch: 2, Offset: 41}) {
		t.Error("a record that was written after the restore is refused")
	}
}

func TestPositionsOfALaterEpochAreLater(t *testing.T) {
	if !(Position{Epoch: 1, Offset: 9}).Before(Position{Epoch: 2, Offset: 1}) || (Position{Epoch: 2, Offset: 1}).Before(Position{Epoch: 2, Offset: 1}) {
		t.Error("positions are not ordered by epoch and then by offset")
	}
}
