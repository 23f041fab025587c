package direct

import (
	"fmt"
	"testing"
	"time"

	"github.com/bambooladder/bambooladder/core/quota"
	"github.com/bambooladder/bambooladder/core/wire"
)

// Entry nodes whose connections fell silent may use their shares: a part of each quota is withheld for them until they are
// back, or have been gone for long. A node that ended its connection has ended, and costs nothing.
func TestQuotaIsWithheldForNodesThatAreCutOff(t *testing.T) {
	now := time.Now()
	qa := &quotaAccounts{}
	for ix := range 10 {
		qa.sessionClosed(&session{peer: wire.Peer{Name: fmt.Sprint("entry-", ix)}, fellSilent: ix < 5}, now)
	}
	if got := qa.withheld(5, now); got != 0.5-cutOffShare {
		t.Errorf("%v withheld with five of ten nodes cut off, want %v", got, 0.5-cutOffShare)
	}
	for ix := range 4 {
		qa.sessionOpened(&session{peer: wire.Peer{Name: fmt.Sprint("entry-", ix)}})
	}
	if got := qa.withheld(29, now); got != 0 {
		t.Errorf("%v withheld with one of thirty nodes cut off, want none", got)
	}
	if got := qa.withheld(1, now.Add(cutOffTime+1)); got != 0 {
		t.Errorf("%v withheld for a node that has been gone for long, want none", got)
	}
}

// Names of organisations must not use up the agent's memory, and accounts that nobody asks for must not stay.
func TestAccountsAreBoundedAndForgotten(t *testing.T) {
	now := time.Now()
	qa := &quotaAccounts{}
	for ix := range accountsMax {
		name := fmt.Sprint("organisation-", ix)
		ac, _ := qa.find(name, now)
		qa.accounts[name], _ = ac.WithQuery(quota.Query{Limit: quota.Limit{PerSecond: 10, Burst: 20}, Amount: 1}, 0, now)
	}
	if !qa.full() {
		t.Error("there is room for more accounts than the most that there may be")
	}
	if _, known := qa.find("organisation-1", now.Add(time.Minute)); !known {
		t.Error("an account was forgotten after a minute")
	}
	if _, known := qa.find("organisation-1", now.Add(2*time.Hour)); known || qa.full() {
		t.Error("accounts are kept that nobody has asked for in two hours")
	}
}
