package direct

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/fault"
	"github.com/bambooladder/bambooladder/core/paths"
)

// keyProtocol reads the key of a request from the header Key.
type keyProtocol struct{ Protocol }

func (keyProtocol) RequestInfo(rq *http.Request) (RequestInfo, error) {
	return RequestInfo{ID: "id", Key: rq.Header.Get("Key")}, nil
}

// scriptedLog answers reads without a wait with a table or an error, after a delay; others wait for the end of the test.
type scriptedLog struct {
	table *paths.Table
	err   error
	delay time.Duration
	reads int
}

func (sl *scriptedLog) ReadNewest(ctx context.Context, _ Topic) (LogBatch, error) {
	<-ctx.Done()
	return LogBatch{}, ctx.Err()
}

func (sl *scriptedLog) After(ctx context.Context, to Topic, from int64, wait time.Duration) (LogBatch, error) {
	sl.reads++
	if to != OperatorsTopic || wait > 0 {
		<-ctx.Done()
	}
	select {
	case <-ctx.Done():
		return LogBatch{}, ctx.Err()
	case <-time.After(sl.delay):
	}
	return LogBatch{Epoch: 1, End: from + 1, Records: []LogRecord{{Offset: from, Table: sl.table}}}, sl.err
}

// tableOfKeys returns a version of the routes with an organisation that holds some keys.
func tableOfKeys(version int64, keys ...string) *paths.Table {
	or := paths.Organisation{Name: "juno"}
	for _, key := range keys {
		or.Keys = append(or.Keys, paths.DigestOf(key))
	}
	return (&paths.Table{
		Version: version, Routes: []paths.Route{{Host: "shop.example", Prefix: "/", Splits: []paths.Split{{Service: "ledger"}}}},
		Services: map[string]paths.Service{"ledger": {Name: "ledger"}}, Organisations: []paths.Organisation{or},
	}).Build()
}

// newKeyNode returns a node that has read routes from a log.
func newKeyNode(t *testing.T, lr LogReader, ta *paths.Table) *Node {
	t.Helper()
	no := newNode(Options{Settings: conf.DirectEntrySettings{RoutesMs: 2500}, LogReader: lr, Protocol: keyProtocol{}, Logger: zerolog.Nop()})
	t.Cleanup(no.cancel)
	fo := no.feeds.followers[OperatorsTopic.String()]
	if !fo.acceptEpoch(1) {
		t.Fatal("the epoch is not accepted")
	}
	fo.applyOwnRead(logRead{listing: true, batch: LogBatch{Epoch: 1, End: 1, Records: []LogRecord{{Table: ta}}}})
	return no
}

// newHeadRequest returns the head of a request with a key.
func newHeadRequest(key string) *http.Request {
	hr := httptest.NewRequest(http.MethodGet, "http://shop.example/x", nil)
	hr.RequestURI = "/x"
	hr.Header.Set("Key", key)
	return hr
}

// parseKey reads the head of a request with a key, and returns the kind of the error, empty for none.
func parseKey(t *testing.T, no *Node, key string) fault.Kind {
	t.Helper()
	hr := newHeadRequest(key)
	fe := &fault.Error{}
	if errors.As((&request{no: no, start: time.Now(), hr: hr}).parse(hr), &fe) {
		return fe.Kind
	}
	return ""
}

// A node that was frozen has requests to read before it has read what happened meanwhile. A key that all other nodes refuse by
// then must not be valid there for a moment.
func TestKeyWithdrawnDuringAFreezeIsRefusedAfterIt(t *testing.T) {
	lr := &scriptedLog{table: tableOfKeys(2, "k-1"), delay: 50 * time.Millisecond}
	no := newKeyNode(t, lr, tableOfKeys(1, "k-1", "k-2"))
	no.noticeFreeze()
	if got := parseKey(t, no, "k-2"); got != "" || lr.reads != 0 {
		t.Fatalf("before the freeze: error %q, %d reads", got, lr.reads)
	}
	no.freezes.aliveAt = time.Now().Add(-4 * time.Second)
	if got := parseKey(t, no, "k-2"); got != fault.Unauthorized {
		t.Errorf("withdrawn key after the freeze: error %q", got)
	}
	if got := parseKey(t, no, "k-1"); got != "" || lr.reads != 1 {
		t.Errorf("key that is left: error %q, after %d reads", got, lr.reads)
	}
}

// If the log does not answer after a freeze either, the keys that the node knows are served, after a short wait.
func TestKnownKeyIsServedAfterAFreezeWhileTheLogIsSilent(t *testing.T) {
	no := newKeyNode(t, &scriptedLog{table: tableOfKeys(2), delay: time.Hour}, tableOfKeys(1, "k-1"))
	no.freezes.aliveAt = time.Now().Add(-4 * time.Second)
	start := time.Now()
	if got := parseKey(t, no, "k-1"); got != "" || time.Since(start) > 4*freezeReadMax {
		t.Errorf("error %q after %v", got, time.Since(start))
	}
	start = time.Now()
	if got := parseKey(t, no, "k-1"); got != "" || time.Since(start) > freezeReadMax/2 {
		t.Errorf("the next request: error %q after %v", got, time.Since(start))
	}
}

// A node that has heard nothing for longer than new routes may take cannot tell whether an unknown key is wrong, also if no read
// has failed yet.
func TestUnknownKeyIsUncertainOnceTheRoutesAreTooOld(t *testing.T) {
	no := newKeyNode(t, &scriptedLog{err: errors.New("not read")}, tableOfKeys(1, "k-1"))
	if got := parseKey(t, no, "k-2"); got != fault.Unauthorized {
		t.Errorf("just read: error %q", got)
	}
	fo := no.feeds.followers[OperatorsTopic.String()]
	fo.confirmedAt = fo.confirmedAt.Add(-2600 * time.Millisecond)
	if got := parseKey(t, no, "k-2"); got != fault.Unavailable {
		t.Errorf("read 2.6 s ago: error %q", got)
	}
	if got := parseKey(t, no, "k-1"); got != "" {
		t.Errorf("known key: error %q", got)
	}
	fo.confirmedAt = time.Now()
	no.view.routesLogDown.Store(true)
	if got := parseKey(t, no, "k-2"); got != fault.Unavailable {
		t.Errorf("a read has failed: error %q", got)
	}
}
