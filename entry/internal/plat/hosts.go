package plat

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/member"
)

// Roles of hosts in the platform's host list.
const (
	RoleAgent = "agent"
	RoleEntry = "entry"
)

// Hosts is a client of the platform's host list.
type Hosts struct {
	http    *http.Client
	baseURL string
}

// NewHosts returns a client of the host list at a base URL.
func NewHosts(hc *http.Client, baseURL string) *Hosts {
	return &Hosts{http: hc, baseURL: baseURL}
}

// hostItem is one host in the response.
type hostItem struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
}

// List returns all hosts in the host list.
func (hs *Hosts) List(ctx context.Context) ([]member.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, hs.baseURL+"/hosts", nil)
	if err != nil {
		return nil, errors.Wrap(err, "plat: build host list request")
	}
	resp, err := hs.http.Do(rq)
	if err != nil {
		return nil, errors.Wrap(err, "plat: list hosts")
	}
	defer drainAndClose(resp)
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("plat: host list returned status %d", resp.StatusCode)
	}
	hostList := struct {
		Hosts []hostItem `json:"hosts"`
	}{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&hostList); err != nil {
		return nil, errors.Wrap(err, "plat: decode host list")
	}
	list := make([]member.Host, 0, len(hostList.Hosts))
	for _, hi := range hostList.Hosts {
		list = append(list, member.Host{Name: hi.Name, Role: hi.Role, Address: hi.Address, Zone: hi.Zone, Region: hi.Region, Leaving: hi.Leaving})
	}
	return list, nil
}
