package main

import (
	"encoding/binary"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeRecord is a record of a topic with keys. An empty value drops the key.
type storeRecord struct {
	key   string
	value []byte
}

// Store is the platform's log, reduced to the topics with keys that the operator and the servers write.
type Store struct {
	mu      sync.Mutex
	topics  map[string][]storeRecord
	changed chan struct{}
}

// NewStore returns a store that listens on an address.
func NewStore(address string) (*Store, error) {
	ls, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	st := &Store{topics: map[string][]storeRecord{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /bambooladder/log-newest", st.serveNewest)
	mux.HandleFunc("GET /bambooladder/log-read", st.serveRead)
	go func() { _ = http.Serve(ls, mux) }()
	return st, nil
}

// Put writes the record of a key; its return is the acknowledgement.
func (st *Store) Put(topic, key string, value any) {
	data := []byte(nil)
	if value != nil {
		data, _ = json.Marshal(value)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.topics[topic] = append(st.topics[topic], storeRecord{key, data})
	close(st.changed)
	st.changed = make(chan struct{})
}

// Version returns the newest version that the operator has named for a model or an adapter, at least one.
func (st *Store) Version(model, adapter string) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	newest := 1
	for _, re := range st.topics["keyed.op"] {
		na := named{}
		if re.key != "config" && json.Unmarshal(re.value, &na) == nil && na.Model == model && na.Adapter == adapter {
			newest = max(newest, na.Version)
		}
	}
	return newest
}

// named is the record by which the operator names a version.
type named struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version int    `json:"version"`
}

func (st *Store) serveNewest(wr http.ResponseWriter, rq *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	topic, after := rq.URL.Query().Get("topic"), rq.URL.Query().Get("after")
	st.mu.Lock()
	newest := map[string]item{}
	for ix, re := range st.topics[topic] {
		newest[re.key] = item{re.key, re.value, ix}
	}
	end := len(st.topics[topic])
	st.mu.Unlock()
	items := []item{}
	for _, it := range newest {
		if it.Key > after && len(it.Value) > 0 {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(aa, bb item) int { return aa.Offset - bb.Offset })
	_ = json.NewEncoder(wr).Encode(map[string]any{"items": items, "more": false, "end": end})
}

func (st *Store) serveRead(wr http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	millis, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(millis, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for {
		data, count, changed := st.read(query.Get("topic"), from)
		waiting := count == 0
		if waiting {
			select {
			case <-changed:
				continue
			case <-timer.C:
			case <-rq.Context().Done():
				return
			}
		}
		_, _ = wr.Write(data)
		return
	}
}

// read returns the answer to a read, the number of records in it and what is closed at the next write.
func (st *Store) read(topic string, from int) ([]byte, int, chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	list := st.topics[topic]
	data := binary.BigEndian.AppendUint64(nil, uint64(len(list)))
	data = binary.BigEndian.AppendUint64(data, 0)
	from = min(from, len(list))
	for _, re := range list[from:] {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(re.key)+len(re.value)))
		data = append(data, byte(len(re.key)))
		data = append(data, re.key...)
		data = append(data, re.value...)
	}
	return data, len(list) - from, st.changed
}
