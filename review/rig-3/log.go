package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	operatorsTopic = "keyed.op"
	serversTopic   = "keyed.servers"
	waitMax        = 30 * time.Second
	pageItemsMax   = 500
)

// record is one record of a topic. An empty value drops the key.
type record struct {
	key   string
	value []byte
}

// store stands in for the platform's store: one partition of each topic, in memory.
type store struct {
	address string

	mu      sync.Mutex
	topics  map[string][]record
	changed chan struct{}
	// era rises each time the store comes back from a copy; away is true while it answers nothing but 503.
	era  int
	away bool
}

// startStore starts a store on a free port.
func startStore() (*store, error) {
	ls, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	st := &store{address: ls.Addr().String(), topics: map[string][]record{}, changed: make(chan struct{}), era: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /bambooladder/log-newest", st.serveNewest)
	mux.HandleFunc("GET /bambooladder/log-read", st.serveRead)
	go func() { _ = http.Serve(ls, mux) }()
	return st, nil
}

// put appends a record.
func (st *store) put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.away {
		// What is written while the store is away has no effect.
		return
	}
	st.topics[topic] = append(st.topics[topic], record{key: key, value: data})
	close(st.changed)
	st.changed = make(chan struct{})
}

// copyOf returns a copy of all topics.
func (st *store) copyOf() map[string][]record {
	st.mu.Lock()
	defer st.mu.Unlock()
	topics := map[string][]record{}
	for name, list := range st.topics {
		topics[name] = slices.Clone(list)
	}
	return topics
}

// leave makes the store answer 503.
func (st *store) leave() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.away = true
	close(st.changed)
	st.changed = make(chan struct{})
}

// comeBack makes the store serve a copy, in the next era.
func (st *store) comeBack(topics map[string][]record) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.topics, st.away = topics, false
	st.era++
}

// begin writes the era of an answer, and reports whether the store serves.
func (st *store) begin(wr http.ResponseWriter) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	wr.Header().Set("Store-Era", strconv.Itoa(st.era))
	if st.away {
		wr.WriteHeader(http.StatusServiceUnavailable)
	}
	return !st.away
}

// newestItem is the newest record of a key as it is listed.
type newestItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int    `json:"offset"`
}

// serveNewest lists the newest record of each key.
func (st *store) serveNewest(wr http.ResponseWriter, rq *http.Request) {
	if !st.begin(wr) {
		return
	}
	topic, after := rq.URL.Query().Get("topic"), rq.URL.Query().Get("after")
	st.mu.Lock()
	newest := map[string]newestItem{}
	for ix, re := range st.topics[topic] {
		newest[re.key] = newestItem{Key: re.key, Value: re.value, Offset: ix}
	}
	end := len(st.topics[topic])
	st.mu.Unlock()
	items := []newestItem{}
	for key, it := range newest {
		if key > after && len(it.Value) > 0 {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(one, other newestItem) int { return strings.Compare(one.Key, other.Key) })
	more := len(items) > pageItemsMax
	items = items[:min(len(items), pageItemsMax)]
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(map[string]any{"items": items, "more": more, "end": end})
}

// serveRead sends the records from an offset on, and waits for the first one.
func (st *store) serveRead(wr http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	from, err := strconv.Atoi(query.Get("from"))
	if err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	millis, _ := strconv.Atoi(query.Get("wait_ms"))
	ctx, cancel := context.WithTimeout(rq.Context(), min(waitMax, time.Duration(millis)*time.Millisecond))
	defer cancel()
	for {
		if !st.begin(wr) {
			return
		}
		data, count, changed := st.read(query.Get("topic"), from)
		if data == nil {
			wr.WriteHeader(http.StatusGone)
			return
		}
		if count > 0 || ctx.Err() != nil {
			_, _ = wr.Write(data)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// read returns the encoded records from an offset on, their number, and what is closed at the next write.
func (st *store) read(topic string, from int) ([]byte, int, <-chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	list := st.topics[topic]
	if from < 0 || from > len(list) {
		return nil, 0, st.changed
	}
	data := binary.BigEndian.AppendUint64(nil, uint64(len(list)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, re := range list[from:] {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(re.key)+len(re.value)))
		data = append(data, byte(len(re.key)))
		data = append(data, re.key...)
		data = append(data, re.value...)
	}
	return data, len(list) - from, st.changed
}
