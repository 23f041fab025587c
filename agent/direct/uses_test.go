package direct

import (
	"fmt"
	"testing"

	"github.com/bambooladder/bambooladder/core/grant"
)

// The metric must stay small with thousands of organisations and lose none of what they use.
func TestUsesOfManyOrganisationsAreBounded(t *testing.T) {
	uses := make([]grant.Use, 0, 1000)
	for ix := range 1000 {
		uses = append(uses, grant.Use{Organisation: fmt.Sprint("o", ix), Queued: 1, QueuedTokens: 10, GrantedTokens: 5})
	}
	named := namedUses(uses)
	total := 0
	for _, use := range named {
		total += use.QueuedTokens
	}
	if len(named) != usesMax+1 || total != 10_000 || named[usesOther].Queued != 1000-usesMax {
		t.Errorf("%d names with %d queued tokens, other %+v", len(named), total, named[usesOther])
	}
}
