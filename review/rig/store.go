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

// pageMax is the most records that the platform's pages allow in an answer.
const pageMax = 500

// storeRecord is a record of a topic with keys. An empty value drops the key.
type storeRecord struct {
	key   string
	value []byte
}

// Store is the platform's log, reduced to the topics with keys that the operator and the servers write.
type Store struct {
	// Delay is how long each answer takes, on its way too; Page is the most records in an answer with the newest ones.
	Delay time.Duration
	Page  int

	mu     sync.Mutex
	topics map[string][]storeRecord
	// newest maps the keys of each topic to the offsets of their newest records, keys holds those with a value, sorted.
	newest  map[string]map[string]int
	keys    map[string][]string
	changed chan struct{}
}

// NewStore returns a store that listens on an address.
func NewStore(address string) (*Store, error) {
	ls, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	st := &Store{Page: pageMax, topics: map[string][]storeRecord{}, newest: map[string]map[string]int{}, keys: map[string][]string{}, changed: make(chan struct{})}
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
	st.index(topic, key, len(data) > 0)
	close(st.changed)
	st.changed = make(chan struct{})
}

// index notes the newest record of a key. The lock must be held.
func (st *Store) index(topic, key string, present bool) {
	if st.newest[topic] == nil {
		st.newest[topic] = map[string]int{}
	}
	st.newest[topic][key] = len(st.topics[topic]) - 1
	ix, found := slices.BinarySearch(st.keys[topic], key)
	switch {
	case present && !found:
		st.keys[topic] = slices.Insert(st.keys[topic], ix, key)
	case !present && found:
		st.keys[topic] = slices.Delete(st.keys[topic], ix, ix+1)
	}
}

// Version returns the newest version that the operator has named for a model or an adapter, at least one.
func (st *Store) Version(model, adapter string) int {
	st.mu.Lock()
	defer st.mu.Unlock()
	key, newest := "version/"+model, 1
	if adapter != "" {
		key += "." + adapter
	}
	if offset, ok := st.newest["keyed.op"][key]; ok {
		na := named{}
		if json.Unmarshal(st.topics["keyed.op"][offset].value, &na) == nil {
			newest = na.Version
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
	time.Sleep(st.Delay)
	st.mu.Lock()
	keys := st.keys[topic]
	ix, found := slices.BinarySearch(keys, after)
	if found {
		ix++
	}
	page := keys[ix:min(len(keys), ix+st.Page)]
	items, more, end := make([]item, 0, len(page)), ix+len(page) < len(keys), len(st.topics[topic])
	for _, key := range page {
		offset := st.newest[topic][key]
		items = append(items, item{key, st.topics[topic][offset].value, offset})
	}
	st.mu.Unlock()
	_ = json.NewEncoder(wr).Encode(map[string]any{"items": items, "more": more, "end": end})
}

func (st *Store) serveRead(wr http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	millis, _ := strconv.Atoi(query.Get("wait_ms"))
	time.Sleep(st.Delay)
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
