package peers

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/admin"
	"github.com/bambooladder/bambooladder/core/member"
	"github.com/bambooladder/bambooladder/core/record"
)

const (
	askTimeout = 2 * time.Second
	bytesMax   = 64 << 20
	// askMax bounds the peers asked for their settings.
	askMax = 3

	settingsPath = "/peer/settings"
	statusPath   = "/peer/status"
)

// Directory lists the entry nodes.
type Directory interface {
	Entries() []member.Host
}

// Peers asks other entry nodes.
type Peers struct {
	http *http.Client
	dir  Directory
	self string
	// random gives numbers from 0 to 1.
	random func() float64
}

// NewPeers returns a client of the entry nodes in a directory, without the node itself.
func NewPeers(hc *http.Client, di Directory, self string, random func() float64) *Peers {
	return &Peers{http: hc, dir: di, self: self, random: random}
}

// others lists the other entry nodes.
func (pe *Peers) others() []member.Host {
	list := make([]member.Host, 0)
	for _, ho := range pe.dir.Entries() {
		if ho.Name != pe.self {
			list = append(list, ho)
		}
	}
	return list
}

// LatestImage returns the image that is furthest ahead among a few peers, or false where none answers.
func (pe *Peers) LatestImage(ctx context.Context) (record.Image, bool) {
	best, found := record.Image{}, false
	others := pe.others()
	start := 0
	if len(others) > 0 {
		start = int(pe.random() * float64(len(others)))
	}
	for ix := range min(askMax, len(others)) {
		data, err := pe.get(ctx, others[(start+ix)%len(others)], settingsPath)
		if err != nil {
			continue
		}
		env, err := record.Decode(data)
		if err != nil || env.Image == nil {
			continue
		}
		if !found || env.Image.Next > best.Next {
			best, found = *env.Image, true
		}
	}
	return best, found
}

// Statuses returns the state of every other entry node.
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

// status returns the state of one entry node.
func (pe *Peers) status(ctx context.Context, ho member.Host) admin.Node {
	no := admin.Node{Name: ho.Name, Runners: []admin.Runner{}}
	data, err := pe.get(ctx, ho, statusPath)
	if err != nil || json.Unmarshal(data, &no) != nil {
		return admin.Node{Name: ho.Name, Runners: []admin.Runner{}}
	}
	return no
}

// get reads a path of an entry node's administration address.
func (pe *Peers) get(ctx context.Context, ho member.Host, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ho.Address+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "peers: build request")
	}
	resp, err := pe.http.Do(rq)
	if err != nil {
		return nil, errors.Wrapf(err, "peers: ask %s", ho.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("peers: %s answered %d", ho.Name, resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, bytesMax))
	return data, errors.Wrapf(err, "peers: read answer of %s", ho.Name)
}
