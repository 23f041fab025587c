package proofs

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/entry/direct"
)

// stoppedReader is the log as a node sees it that loses it before others do.
type stoppedReader struct {
	direct.LogReader
	down atomic.Bool
}

var errLogLost = errors.New("the log does not answer this node")

func (lr *stoppedReader) ReadNewest(ctx context.Context, to direct.Topic) (direct.LogBatch, error) {
	if lr.down.Load() {
		return direct.LogBatch{}, errLogLost
	}
	return lr.LogReader.ReadNewest(ctx, to)
}

func (lr *stoppedReader) After(ctx context.Context, to direct.Topic, from int64, wait time.Duration) (direct.LogBatch, error) {
	ba, err := lr.LogReader.After(ctx, to, from, wait)
	if lr.down.Load() {
		return direct.LogBatch{}, errLogLost
	}
	return ba, err
}

// A server has left, which one of two nodes knows, when the log goes away and a third node starts. It must not use the server
// because the node that lags still lists it.
func TestDirectStartingNodeUsesNoServerThatAPeerKnowsToHaveLeft(t *testing.T) {
	runDirectSimulation(t, 2, 0, func(t *testing.T, ds *directSimulation, _ *directCaller) {
		lagging := &stoppedReader{LogReader: ds.source}
		ds.readers["entry-2"] = lagging
		ds.startEntry("entry-2")
		lagging.down.Store(true)
		time.Sleep(4 * time.Second)
		ds.source.appendRecord(direct.ServersTopic, direct.LogRecord{RemovedServer: "plain-0"})
		time.Sleep(4 * time.Second)
		ds.source.setDown(true)
		ds.startEntry("entry-3")
		time.Sleep(2 * time.Second)
		before := len(ds.backends["plain-0"].receivedRequests())
		cl := ds.newCaller("entry-3")
		defer cl.client.CloseIdleConnections()
		for number := range 20 {
			if re := cl.sendAs(t.Context(), fmt.Sprintf("call-%d", number), http.MethodPost, "/unsafe/x", "", "release"); re.status != http.StatusOK {
				t.Errorf("status %d, error %v, want an answer", re.status, re.err)
			}
		}
		if got := len(ds.backends["plain-0"].receivedRequests()) - before; got > 0 {
			t.Errorf("the server that has left received %d of 20 requests", got)
		}
	})
}
