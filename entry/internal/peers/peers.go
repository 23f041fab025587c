package peers

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/admin"
	"github.com/bambooladder/bambooladder/core/member"
	"github.com/bambooladder/bambooladder/core/record"
	"github.com/bambooladder/bambooladder/core/reply"
)

const (
	requestTimeout = 2 * time.Second
	// maxResponseBytes limits a response body, maxAllReadBytes the memory of all that are being read.
	maxResponseBytes = 64 << 20
	maxAllReadBytes  = 128 << 20
	// maxPeersAsked is the maximum number of peers that one call of LatestImage asks, one after
	// another.
	maxPeersAsked = 3

	settingsPath = "/peer/settings"
	statusPath   = "/peer/status"
)

// Directory lists the entry nodes.
type Directory interface {
	// Entries returns all entry nodes.
	Entries() []member.Host
}

// Peers is a client of the other entry nodes.
type Peers struct {
	http *http.Client
	dir  Directory
	// self is the name of this node.
	self string
	// random returns random numbers in [0, 1).
	random func() float64
	// budget limits the memory of the responses that are being read.
	budget reply.Budget
}

// NewPeers returns a client of the entry nodes in a directory, except the node named self.
func NewPeers(hc *http.Client, di Directory, self string, random func() float64) *Peers {
	return &Peers{http: hc, dir: di, self: self, random: random, budget: reply.Budget{BytesMax: maxAllReadBytes}}
}

// others returns the entry nodes in the directory, except this one.
func (pe *Peers) others() []member.Host {
	list := make([]member.Host, 0)
	for _, ho := range pe.dir.Entries() {
		if ho.Name != pe.self {
			list = append(list, ho)
		}
	}
	return list
}

// LatestImage asks up to maxPeersAsked peers for their settings, starting with a random one. It
// returns the settings with the most records applied, or false if no peer answers.
func (pe *Peers) LatestImage(ctx context.Context) (record.Image, bool) {
	latest, found := record.Image{}, false
	others := pe.others()
	start := 0
	if len(others) > 0 {
		start = int(pe.random() * float64(len(others)))
	}
	for ix := range min(maxPeersAsked, len(others)) {
		data, err := pe.get(ctx, others[(start+ix)%len(others)], settingsPath)
		if err != nil {
			continue
		}
		env, err := record.Decode(data)
		if err != nil || env.Image == nil {
			continue
		}
		if !found || env.Image.Next > latest.Next {
			latest, found = *env.Image, true
		}
	}
	return latest, found
}

// Statuses returns the status of every other entry node. A node that does not answer is marked as
// not reachable.
func (pe *Peers) Statuses(ctx context.Context) []admin.Node {
	others := pe.others()
	nodes := make([]admin.Node, len(others))
	done := make(chan int, len(others))
	for ix, ho := range others {
		go func() {
			nodes[ix] = pe.status(ctx, ho)
			done <- ix
		}()
	}
	for range others {
		<-done
	}
	return nodes
}

// status returns the status of one entry node.
func (pe *Peers) status(ctx context.Context, ho member.Host) admin.Node {
	no := admin.Node{Name: ho.Name, Runners: []admin.Runner{}}
	data, err := pe.get(ctx, ho, statusPath)
	if err != nil || json.Unmarshal(data, &no) != nil {
		return admin.Node{Name: ho.Name, Runners: []admin.Runner{}}
	}
	return no
}

// get requests a path of an entry node's HTTP API for operators.
func (pe *Peers) get(ctx context.Context, ho member.Host, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ho.Address+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "peers: build request")
	}
	resp, err := pe.http.Do(rq)
	if err != nil {
		return nil, errors.Wrapf(err, "peers: request to %s", ho.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("peers: %s returned status %d", ho.Name, resp.StatusCode)
	}
	data, err := pe.budget.ReadAll(resp.Body, maxResponseBytes)
	return data, errors.Wrapf(err, "peers: read response from %s", ho.Name)
}
