package plat

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/bambooladder/bambooladder/core/member"
)

// Roles of hosts in the platform's list.
const (
	RoleAgent = "agent"
	RoleEntry = "entry"
)

// Hosts is a client of the platform's list of hosts.
type Hosts struct {
	http *http.Client
	base string
}

// NewHosts returns a client of the list at a URL.
func NewHosts(hc *http.Client, base string) *Hosts {
	return &Hosts{http: hc, base: base}
}

// hostEntry is one host as the list shows it.
type hostEntry struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Leaving bool   `json:"leaving"`
}

// List returns the hosts.
func (hs *Hosts) List(ctx context.Context) ([]member.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, hs.base+"/hosts", nil)
	if err != nil {
		return nil, errors.Wrap(err, "plat: build list request")
	}
	resp, err := hs.http.Do(rq)
	if err != nil {
		return nil, errors.Wrap(err, "plat: list hosts")
	}
	defer discard(resp)
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("plat: list of hosts answered %d", resp.StatusCode)
	}
	answer := struct {
		Hosts []hostEntry `json:"hosts"`
	}{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, answerBytes)).Decode(&answer); err != nil {
		return nil, errors.Wrap(err, "plat: decode list of hosts")
	}
	list := make([]member.Host, 0, len(answer.Hosts))
	for _, he := range answer.Hosts {
		list = append(list, member.Host{Name: he.Name, Role: he.Role, Address: he.Address, Zone: he.Zone, Region: he.Region, Leaving: he.Leaving})
	}
	return list, nil
}
