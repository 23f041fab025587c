package direct

import (
	"testing"

	"github.com/bambooladder/bambooladder/core/grant"
	"github.com/bambooladder/bambooladder/core/spread"
)

// Of the servers with addresses on an agent's host, the one beside the agent is at the port that the agent tells of its
// engine, then the one that started when the engine did.
func TestServerBesideAnAgentIsAtItsEnginesPort(t *testing.T) {
	records := []engineRecord{{id: "a", port: "2", born: 5}, {id: "b", port: "1", born: 5}, {id: "c", port: "1", born: 6}, {id: "d", port: "3", born: 9}}
	for name, tc := range map[string]struct {
		port, earlier string
		born          int64
		want          string
	}{
		"nothing told":                    {want: "d"},
		"start only":                      {born: 5, want: "a"},
		"start only, known":               {born: 5, earlier: "b", want: "b"},
		"port and start":                  {port: "1", born: 5, want: "b"},
		"port and start, another until":   {port: "1", born: 5, earlier: "a", want: "b"},
		"port and start of the later one": {port: "1", born: 6, earlier: "b", want: "c"},
		"port only":                       {port: "1", want: "c"},
		"port of none":                    {port: "8", born: 5, want: "a"},
	} {
		as := newAgents(nil)
		as.records = map[string][]engineRecord{"host": records}
		as.links["host"] = &agentConn{enginePort: tc.port}
		as.reports["host"] = engineReport{load: spread.Load{Load: grant.Load{Born: tc.born}}}
		if got := as.serverBeside("host", tc.earlier); got != tc.want {
			t.Errorf("%s: %s, want %s", name, got, tc.want)
		}
	}
}
