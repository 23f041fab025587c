package config

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/bambooladder/bambooladder/core/conf"
	"github.com/bambooladder/bambooladder/core/fold"
)

// TokenOwner is the team that a bearer token belongs to, with the token's name and role there.
type TokenOwner struct {
	Team string
	// Name is the name of the token within the team.
	Name string
	Role conf.TokenRole
}

// View is the accepted settings, with an index of the bearer tokens. It is immutable.
type View struct {
	State fold.State
	Tree  conf.Tree
	// tokenOwners has the owners of the tokens by the hash of the token.
	tokenOwners map[string]TokenOwner
}

// newView returns the view of a state.
func newView(st fold.State) *View {
	vi := &View{State: st, Tree: st.Tree(), tokenOwners: map[string]TokenOwner{}}
	for name, te := range vi.Tree.Teams {
		for _, to := range te.Tokens {
			vi.tokenOwners[to.Sha256] = TokenOwner{Team: name, Name: to.Name, Role: to.Role}
		}
	}
	return vi
}

// TokenOwner returns the owner of a bearer token, or false if the token is unknown.
func (vi *View) TokenOwner(token string) (TokenOwner, bool) {
	own, ok := vi.tokenOwners[HashToken(token)]
	return own, ok
}

// HashToken returns the SHA-256 of a token in hex, the form in which the settings store tokens.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
