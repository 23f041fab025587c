package proofs

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/paths"
	"github.com/bambooladder/bambooladder/entry/direct"
)

// keyTable returns the routes of the tests in a version, with an organisation that holds some keys, after a more urgent one.
func keyTable(version int64, keys ...string) *paths.Table {
	ta := routeTable(version)
	for ix := range ta.Routes {
		ta.Routes[ix].Rank, ta.Routes[ix].Target = ix%3, time.Second
	}
	digests := make([]paths.Digest, 0, len(keys))
	for _, key := range keys {
		digests = append(digests, paths.DigestOf(key))
	}
	ta.Organisations = []paths.Organisation{{Name: "ceres", Keys: []paths.Digest{paths.DigestOf("k-ceres")}}, {Name: "juno", Rank: 1, Keys: digests}}
	return ta.Build()
}

// announceKeys puts a version of the routes into the log and gives the entry nodes time to read it.
func (ds *directSimulation) announceKeys(version int64, keys ...string) {
	ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Table: keyTable(version, keys...)})
	time.Sleep(2500 * time.Millisecond)
}

// sendKey sends one request with a key and reads the whole response.
func (cl *directCaller) sendKey(ctx context.Context, key, target, adapter string, body io.Reader) directReply {
	cl.count++
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+cl.entry+":1/", body)
	if err != nil {
		cl.ds.tb.Fatal(err)
	}
	rq.URL.Opaque, rq.Host = target, directHost
	rq.Header.Set(headerID, "key-"+strconv.Itoa(cl.count))
	rq.Header.Set(headerTimeout, "4000")
	rq.Header.Set(headerKey, key)
	if adapter != "" {
		rq.Header.Set(headerAdapter, adapter)
	}
	start := time.Now()
	resp, err := cl.client.Do(rq)
	if err != nil {
		return directReply{err: err, took: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return directReply{status: resp.StatusCode, header: resp.Header, body: string(data), err: err, took: time.Since(start)}
}

// trySafe sends one request with a key to a plain server and returns the response.
func (cl *directCaller) trySafe(ctx context.Context, key string) directReply {
	return cl.sendKey(ctx, key, "/safe/x", "", http.NoBody)
}

// While its reads of the log fail, a node cannot know new keys. It must not tell their callers that they are wrong, which they
// take as final, but must still serve those that it knows.
func TestDirectUnknownKeyIsNotRefusedForGoodWhileTheLogIsDown(t *testing.T) {
	runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.announceKeys(2, "k-1")
		if re := cl.trySafe(t.Context(), "k-2"); re.status != http.StatusUnauthorized || re.header.Get("WWW-Authenticate") != "Bearer" || re.took > 50*time.Millisecond {
			t.Errorf("unknown key: %+v, want status 401 at once", re)
		}
		ds.source.setDown(true)
		time.Sleep(4 * time.Second)
		re := cl.trySafe(t.Context(), "k-2")
		if after, err := strconv.ParseFloat(re.header.Get("Retry-After"), 64); re.status != http.StatusServiceUnavailable || err != nil || after <= 0 {
			t.Errorf("unknown key while the log is down: %+v, want status 503 with Retry-After", re)
		}
		if re := cl.trySafe(t.Context(), ""); re.status != http.StatusUnauthorized {
			t.Errorf("no key while the log is down: %+v, want status 401", re)
		}
		if re := cl.trySafe(t.Context(), "k-1"); re.status != http.StatusOK {
			t.Errorf("known key while the log is down: %+v", re)
		}
		ds.source.setDown(false)
		ds.announceKeys(3, "k-1", "k-2")
		if re := cl.trySafe(t.Context(), "k-2"); re.status != http.StatusOK {
			t.Errorf("new key: %+v", re)
		}
	})
}

// laggingReader returns only the first records of the operators' topic.
type laggingReader struct {
	direct.LogReader
	mu sync.Mutex
	// length is the number of records that are returned, zero for all.
	length int
}

// lag makes the reader stay at a number of records.
func (lr *laggingReader) lag(length int) {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	lr.length = length
}

// cutOff returns a batch without the records that the reader does not return.
func (lr *laggingReader) cutOff(to direct.Topic, ba direct.LogBatch) direct.LogBatch {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	if to != direct.OperatorsTopic || lr.length == 0 {
		return ba
	}
	ba.Records = slices.DeleteFunc(slices.Clone(ba.Records), func(re direct.LogRecord) bool { return re.Offset >= int64(lr.length) })
	ba.End = min(ba.End, int64(lr.length))
	return ba
}

func (lr *laggingReader) ReadNewest(ctx context.Context, to direct.Topic) (direct.LogBatch, error) {
	ba, err := lr.LogReader.ReadNewest(ctx, to)
	return lr.cutOff(to, ba), err
}

func (lr *laggingReader) After(ctx context.Context, to direct.Topic, from int64, wait time.Duration) (direct.LogBatch, error) {
	ba, err := lr.LogReader.After(ctx, to, from, wait)
	return lr.cutOff(to, ba), err
}

// A node that starts while the log does not answer has its routes from its peers, one of which may lag behind. The key that has
// been withdrawn must not be valid there for a moment.
func TestDirectStartedNodeTakesNewestKeysOfItsPeers(t *testing.T) {
	runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, _ *directCaller) {
		ds.announceKeys(2, "k-1", "k-2")
		lagging := &laggingReader{LogReader: ds.source}
		lagging.lag(2)
		ds.readers["entry-2"] = lagging
		ds.startEntry("entry-2")
		ds.announceKeys(3, "k-1")
		behind := ds.newCaller("entry-2")
		defer behind.client.CloseIdleConnections()
		if re := behind.trySafe(t.Context(), "k-2"); re.status != http.StatusOK {
			t.Fatalf("the peer does not lag: %+v", re)
		}
		ds.source.setDown(true)
		third := ds.newCaller("entry-3")
		defer third.client.CloseIdleConnections()
		go ds.startEntry("entry-3")
		ready := false
		for range 200 {
			time.Sleep(10 * time.Millisecond)
			if re := third.trySafe(t.Context(), "k-2"); re.status == http.StatusOK {
				t.Fatalf("the withdrawn key is valid at the started node: %+v", re)
			}
			ready = ready || third.trySafe(t.Context(), "k-1").status == http.StatusOK
		}
		if !ready {
			t.Error("the started node does not serve the key that is left")
		}
	})
}

// A log that comes back from an older copy holds keys that have been withdrawn since. A node that starts then reads nothing else.
func TestDirectWithdrawnKeyStaysWithdrawnAfterARestartWithAnOlderLog(t *testing.T) {
	runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.announceKeys(2, "k-1", "k-2")
		lengths := ds.source.copyLengths()
		ds.announceKeys(3, "k-1")
		ds.source.restore(lengths)
		ds.startEntry("entry-2")
		other := ds.newCaller("entry-2")
		defer other.client.CloseIdleConnections()
		for _, node := range []*directCaller{cl, other} {
			if re := node.trySafe(t.Context(), "k-2"); re.status != http.StatusUnauthorized {
				t.Errorf("%s: %+v for the withdrawn key, want status 401", node.entry, re)
			}
			if re := node.trySafe(t.Context(), "k-1"); re.status != http.StatusOK {
				t.Errorf("%s: %+v for the key that is left", node.entry, re)
			}
		}
	})
}

// A request whose key is withdrawn while its body is on the way must not be sent.
func TestDirectRequestIsRefusedWhenItsKeyIsWithdrawnBeforeItsBodyIsWhole(t *testing.T) {
	runDirectSimulation(t, 1, 0, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.announceKeys(2, "k-1", "k-2")
		reader, writer := io.Pipe()
		replies := make(chan directReply)
		go func() { replies <- cl.sendKey(t.Context(), "k-2", "/safe/x", "", reader) }()
		_, _ = io.WriteString(writer, "first half")
		ds.announceKeys(3, "k-1")
		_, _ = io.WriteString(writer, "second half")
		_ = writer.Close()
		if re := <-replies; re.status != http.StatusUnauthorized || !strings.Contains(re.body, "not_run") {
			t.Errorf("%+v, want status 401", re)
		}
		if got := ds.allRequests(); len(got) != 0 {
			t.Errorf("servers received %q", got)
		}
	})
}

// A request whose key is withdrawn while it waits for its grant must not be sent, and its grant must be given back. A stream in
// progress goes on.
func TestDirectRequestIsRefusedWhenItsKeyIsWithdrawnBeforeItsGrant(t *testing.T) {
	runDirectSimulation(t, 0, 1, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.announceKeys(2, "k-1", "k-2")
		ds.backends["engine-0"].mu.Lock()
		ds.backends["engine-0"].memoryTokens = 600
		ds.backends["engine-0"].mu.Unlock()
		ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
			time.Sleep(1500 * time.Millisecond)
			defaultAnswer(wr, rq)
		})
		time.Sleep(time.Second)
		replies := [2]chan directReply{make(chan directReply, 1), make(chan directReply, 1)}
		for ix := range replies {
			waiting := ds.newCaller("entry-1")
			defer waiting.client.CloseIdleConnections()
			waiting.count = 100 * ix
			go func() {
				replies[ix] <- waiting.sendKey(t.Context(), "k-2", "/stream/x", "a1", strings.NewReader("prompt"))
			}()
			time.Sleep(300 * time.Millisecond)
		}
		ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Table: keyTable(3, "k-1")})
		if re := <-replies[0]; re.status != http.StatusOK || re.body != completeStream() {
			t.Errorf("the stream in progress: %+v", re)
		}
		if re := <-replies[1]; re.status != http.StatusUnauthorized {
			t.Errorf("the request that waited: %+v, want status 401", re)
		}
		if got := ds.allRequests(); len(got) != 1 {
			t.Errorf("servers received %q, want one request", got)
		}
		ds.setAllScripts(nil)
		if re := cl.sendKey(t.Context(), "k-1", "/stream/x", "a1", strings.NewReader("prompt")); re.status != http.StatusOK {
			t.Errorf("the next request: %+v", re)
		}
	})
}

// Each attempt of a request must name its organisation, also one that goes on with a stream whose key has been withdrawn by then,
// and must have the rank of its organisation before that of its route.
func TestDirectEveryAttemptNamesTheOrganisation(t *testing.T) {
	runDirectSimulation(t, 0, 2, func(t *testing.T, ds *directSimulation, cl *directCaller) {
		ds.announceKeys(2, "k-1", "k-2")
		mu, seen := sync.Mutex{}, []string(nil)
		ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
			mu.Lock()
			seen = append(seen, rq.Header.Get(headerSender)+" "+rq.Header.Get(headerRank)+" "+rq.Header.Get(headerKey)+" "+rq.Header.Get(headerLastEvent))
			first := len(seen) == 1
			mu.Unlock()
			if first {
				writeSealHeaders(wr, rq)
				writeEvents(wr, rq, 4)
				ds.source.appendRecord(direct.OperatorsTopic, direct.LogRecord{Table: keyTable(3, "k-1")})
				time.Sleep(500 * time.Millisecond)
				panic(http.ErrAbortHandler)
			}
			defaultAnswer(wr, rq)
		})
		if re := cl.sendKey(t.Context(), "k-2", "/stream/x", "a1", strings.NewReader("prompt")); re.status != http.StatusOK || re.body != completeStream() {
			t.Errorf("the stream: %+v", re)
		}
		mu.Lock()
		defer mu.Unlock()
		if want := []string{"juno 5  ", "juno 5  4"}; !slices.Equal(seen, want) {
			t.Errorf("servers got %q, want %q", seen, want)
		}
	})
}

// A request of a more urgent organisation must not wait at the agent behind those of others, whatever their routes. All four
// wait while the adapter is loaded.
func TestDirectRankOfTheOrganisationDecidesWhoIsGrantedFirst(t *testing.T) {
	runDirectSimulation(t, 0, 1, func(t *testing.T, ds *directSimulation, _ *directCaller) {
		ds.announceKeys(2, "k-1")
		ds.backends["engine-0"].mu.Lock()
		ds.backends["engine-0"].memoryTokens = 600
		ds.backends["engine-0"].mu.Unlock()
		mu, order := sync.Mutex{}, []string(nil)
		ds.setAllScripts(func(wr http.ResponseWriter, rq *http.Request) {
			mu.Lock()
			order = append(order, rq.Header.Get(headerSender)+rq.RequestURI)
			mu.Unlock()
			time.Sleep(300 * time.Millisecond)
			defaultAnswer(wr, rq)
		})
		time.Sleep(time.Second)
		wg := sync.WaitGroup{}
		for ix, tc := range []struct{ key, target string }{{"k-1", "/stream/1"}, {"k-1", "/once/2"}, {"k-1", "/stream/3"}, {"k-ceres", "/stream/4"}} {
			waiting := ds.newCaller("entry-1")
			defer waiting.client.CloseIdleConnections()
			waiting.count = 100 * ix
			wg.Go(func() {
				if re := waiting.sendKey(t.Context(), tc.key, tc.target, "a1", strings.NewReader("prompt")); re.status != http.StatusOK {
					t.Errorf("%s: %+v", tc.target, re)
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
		wg.Wait()
		if want := []string{"ceres/stream/4", "juno/once/2", "juno/stream/1", "juno/stream/3"}; !slices.Equal(order, want) {
			t.Errorf("the engine got %q, want %q", order, want)
		}
	})
}
