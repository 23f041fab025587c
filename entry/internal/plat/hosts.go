package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/tidwall/gjson"

	"github.com/bambooladder/bambooladder/core/member"
	"github.com/bambooladder/bambooladder/core/reply"
)

// loggedBytesMax bounds what is logged of a host that cannot be read.
const loggedBytesMax = 256

// Roles of hosts in the platform's host list.
const (
	RoleAgent = "agent"
	RoleEntry = "entry"
)

// Hosts is a client of the platform's host list.
type Hosts struct {
	http    *http.Client
	baseURL string
	lg      zerolog.Logger
	budget  reply.Budget
}

// NewHosts returns a client of the host list at a base URL.
func NewHosts(hc *http.Client, baseURL string, lg zerolog.Logger) *Hosts {
	return &Hosts{http: hc, baseURL: baseURL, lg: lg}
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
	data, err := hs.budget.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return nil, errors.Wrap(err, "plat: read host list")
	}
	items := gjson.GetBytes(data, "hosts")
	if !items.IsArray() || !strings.HasSuffix(items.Raw, "]") || !bytes.HasSuffix(bytes.TrimSpace(data), []byte("}")) {
		return nil, errors.New("plat: the host list is not whole or has no hosts")
	}
	list := []member.Host{}
	items.ForEach(func(_, item gjson.Result) bool {
		ho, err := decodeHost(item.Raw)
		if err != nil {
			hs.lg.Warn().Int("bytes", len(item.Raw)).Str("error", err.Error()[:min(len(err.Error()), loggedBytesMax)]).Msg("host_unreadable")
			return true
		}
		list = append(list, ho)
		return true
	})
	return list, nil
}

// decodeHost decodes one host of the list. One that cannot be read must not hide the others.
func decodeHost(data string) (member.Host, error) {
	hi := hostItem{}
	if err := json.Unmarshal([]byte(data), &hi); err != nil {
		return member.Host{}, errors.Wrap(err, "plat: decode host")
	}
	_, port, err := net.SplitHostPort(hi.Address)
	if number, portErr := strconv.ParseUint(port, 10, 16); hi.Name == "" || err != nil || portErr != nil || number == 0 {
		return member.Host{}, errors.Newf("plat: host %q has no valid address: %q", hi.Name, hi.Address)
	}
	return member.Host{Name: hi.Name, Role: hi.Role, Address: hi.Address, Zone: hi.Zone, Region: hi.Region, Leaving: hi.Leaving}, nil
}
