package sim

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Topics of the store.
const (
	TopicOperators = "keyed.op"
	TopicServers   = "keyed.servers"
)

const (
	// pageItems is the number of items on a page of the newest records.
	pageItems = 500
	// maxWait bounds how long a read waits for records.
	maxWait = 30 * time.Second
	// headerTimeout bounds the reading of a request's headers at a stand-in.
	headerTimeout = 10 * time.Second
)

// entry is one record of a topic. An empty value drops the key.
type entry struct {
	key   string
	value []byte
}

// Store is the platform's store, with keyed topics of one partition. It is created by StartStore.
type Store struct {
	Address string
	server  *http.Server

	mu      sync.Mutex
	topics  map[string][]entry
	changed chan struct{}
}

// StartStore starts a store on a free port of an IP address.
func StartStore(ip string) (*Store, error) {
	ls, err := listen(ip + ":0")
	if err != nil {
		return nil, err
	}
	st := &Store{Address: ls.Addr().String(), topics: map[string][]entry{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /bambooladder/log-newest", st.serveNewest)
	mux.HandleFunc("GET /bambooladder/log-read", st.serveRead)
	st.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() { _ = st.server.Serve(ls) }()
	return st, nil
}

// listen opens a listener for TCP connections.
func listen(address string) (net.Listener, error) {
	ls, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("sim: listen: %w", err)
	}
	return ls, nil
}

// Close stops the store.
func (st *Store) Close() { _ = st.server.Close() }

// Put appends the record of a key and returns its offset. The record is acknowledged when Put returns.
func (st *Store) Put(topic, key string, value []byte) int64 {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.topics[topic] = append(st.topics[topic], entry{key: key, value: value})
	close(st.changed)
	st.changed = make(chan struct{})
	return int64(len(st.topics[topic]) - 1)
}

// PutJSON appends the record of a key with a value in JSON.
func (st *Store) PutJSON(topic, key string, value any) (int64, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, fmt.Errorf("sim: encode record: %w", err)
	}
	return st.Put(topic, key, data), nil
}

// newestItem is an item in the answer to a read of the newest records.
type newestItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// newestPage is the answer to a read of the newest records.
type newestPage struct {
	Items []newestItem `json:"items"`
	More  bool         `json:"more"`
	End   int64        `json:"end"`
}

// newest returns a page of the newest records of all keys after a key.
func (st *Store) newest(topic, after string) newestPage {
	st.mu.Lock()
	defer st.mu.Unlock()
	last := map[string]int64{}
	for ix, en := range st.topics[topic] {
		last[en.key] = int64(ix)
	}
	keys := make([]string, 0, len(last))
	for key, offset := range last {
		if key > after && len(st.topics[topic][offset].value) > 0 {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := newestPage{Items: []newestItem{}, End: int64(len(st.topics[topic])), More: len(keys) > pageItems}
	for _, key := range keys[:min(len(keys), pageItems)] {
		page.Items = append(page.Items, newestItem{Key: key, Value: st.topics[topic][last[key]].value, Offset: last[key]})
	}
	return page
}

// serveNewest answers a read of the newest record of each key.
func (st *Store) serveNewest(wr http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	wr.Header().Set("Store-Era", "1")
	wr.Header().Set("Content-Type", "application/json")
	// A caller that has left gets no answer.
	_ = json.NewEncoder(wr).Encode(st.newest(query.Get("topic"), query.Get("after")))
}

// serveRead answers a read of the records from an offset on, as soon as there is one.
func (st *Store) serveRead(wr http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	millis, _ := strconv.Atoi(query.Get("wait_ms")) // none means no wait
	timer := time.NewTimer(min(maxWait, time.Duration(millis)*time.Millisecond))
	defer timer.Stop()
	wr.Header().Set("Store-Era", "1")
	for {
		data, found, changed := st.read(query.Get("topic"), from)
		if data == nil {
			wr.WriteHeader(http.StatusGone)
			return
		}
		if found {
			_, _ = wr.Write(data)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			_, _ = wr.Write(data)
			return
		case <-rq.Context().Done():
			return
		}
	}
}

// read returns the answer to a read, nil for an offset beyond the end, whether it holds a record, and what
// is closed at the next change.
func (st *Store) read(topic string, from int64) ([]byte, bool, <-chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	list := st.topics[topic]
	if from < 0 || from > int64(len(list)) {
		return nil, false, st.changed
	}
	data := binary.BigEndian.AppendUint64(nil, uint64(len(list)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, en := range list[from:] {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(en.key)+len(en.value)))
		data = append(data, byte(len(en.key)))
		data = append(data, en.key...)
		data = append(data, en.value...)
	}
	return data, from < int64(len(list)), st.changed
}
