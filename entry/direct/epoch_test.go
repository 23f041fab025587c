package direct

import (
	"testing"

	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/roster"
)

// A read may be accepted just before another topic's answer shows that the log has come back from an older
// copy. It must not be applied as the first read of the new epoch.
func TestReadOfAnEpochThatEndedMeanwhileIsNotApplied(t *testing.T) {
	no := newNode(Options{Logger: zerolog.Nop()})
	defer no.cancel()
	fo := no.feeds.followers[ServersTopic.String()]
	if !fo.acceptEpoch(1) {
		t.Fatal("the first epoch is not accepted")
	}
	no.view.observeEpoch(2)
	fo.applyOwnRead(logRead{listing: true, batch: LogBatch{End: 9, Epoch: 1, Records: []LogRecord{{Server: &roster.Server{ID: "s", Address: "10.0.0.1:80"}}}}})
	servers := 0
	no.view.withRoster(func(ro *roster.Roster) { servers = ro.Len() })
	if fo.hasNewest || fo.nextOffset != 0 || servers != 0 {
		t.Errorf("the read is applied: %d servers, next offset %d", servers, fo.nextOffset)
	}
}
