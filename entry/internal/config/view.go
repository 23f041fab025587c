package config

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/fold"
)

// Holder is who a bearer token belongs to.
type Holder struct {
	Team string
	Name string
	Role conf.TokenRole
}

// View is the accepted settings with the lookups that requests need; it is immutable.
type View struct {
	State  fold.State
	Tree   conf.Tree
	tokens map[string]Holder
}

// newView prepares the lookups of a state.
func newView(st fold.State) *View {
	vi := &View{State: st, Tree: st.Tree(), tokens: map[string]Holder{}}
	for name, te := range vi.Tree.Teams {
		for _, to := range te.Tokens {
			vi.tokens[to.Sha256] = Holder{Team: name, Name: to.Name, Role: to.Role}
		}
	}
	return vi
}

// Holder returns who a bearer token belongs to.
func (vi *View) Holder(token string) (Holder, bool) {
	ho, ok := vi.tokens[HashToken(token)]
	return ho, ok
}

// HashToken returns the form in which tokens are kept.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
