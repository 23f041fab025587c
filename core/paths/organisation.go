package paths

import "crypto/sha256"

// maxRank is the rank of the least urgent requests.
const maxRank = 9

// hashedAtOnceMax is the length of the longest key that is hashed without an allocation.
const hashedAtOnceMax = 512

// Digest is the SHA-256 hash of a key, by which the key is recognized without being kept.
type Digest [32]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	if len(key) > hashedAtOnceMax {
		return sha256.Sum256([]byte(key))
	}
	buf := [hashedAtOnceMax]byte{}
	return sha256.Sum256(buf[:copy(buf[:], key)])
}

// Organisation is a customer whose callers identify themselves with one of its keys.
type Organisation struct {
	Name string
	// Keys holds the digests of the organisation's keys.
	Keys []Digest
	// Rank orders organisations by urgency, zero being the most urgent; it goes before the rank of routes.
	Rank  int
	Quota Quota
}

// Quota limits what an organisation uses over all entry nodes together.
type Quota struct {
	// PerSecond is the number of units in a second, zero for no limit.
	PerSecond float64
	// Burst is the number of units that may be used at once in excess of the rate.
	Burst float64
	// Tokens is true if the unit is a token, false if it is a request.
	Tokens bool
	// PlainTokens is the number of tokens that a request without a token count counts as.
	PlainTokens int
}

// HasOrganisations reports whether requests need a key unless their route is anonymous.
func (ta *Table) HasOrganisations() bool { return ta != nil && len(ta.Organisations) > 0 }

// OrganisationOf returns the organisation that a key belongs to, the first of the list if there are several. The key is
// looked up by its digest, so the time does not show how much of a wrong key is right.
func (ta *Table) OrganisationOf(key string) (*Organisation, bool) {
	return ta.Holder(DigestOf(key))
}

// Holder returns the organisation that holds the key with a digest.
func (ta *Table) Holder(di Digest) (*Organisation, bool) {
	or, ok := ta.holders[di]
	return or, ok
}

// RankOf returns the rank of an organisation's requests to a route, from 0 to 9: the organisation's rank goes before that of
// the route. Higher ranks count as 9, so that with many ranks the least urgent ones are not told apart. A request of no
// organisation counts as one of the least urgent organisation.
func (ta *Table) RankOf(or *Organisation, ro *Route) int {
	rank := ta.organisationRankMax
	if or != nil {
		rank = bounded(or.Rank)
	}
	return min(maxRank, rank*(ta.routeRankMax+1)+bounded(ro.Rank))
}

// buildOrganisations creates the index of keys, and finds the highest ranks.
func (ta *Table) buildOrganisations() {
	ta.holders, ta.organisationRankMax, ta.routeRankMax = map[Digest]*Organisation{}, 0, 0
	for ix := range ta.Organisations {
		or := &ta.Organisations[ix]
		ta.organisationRankMax = max(ta.organisationRankMax, bounded(or.Rank))
		for _, di := range or.Keys {
			if ta.holders[di] == nil {
				ta.holders[di] = or
			}
		}
	}
	for ix := range ta.Routes {
		ta.routeRankMax = max(ta.routeRankMax, bounded(ta.Routes[ix].Rank))
	}
}

// bounded returns a rank within 0 to 9. Operators may write any number.
func bounded(rank int) int { return min(maxRank, max(0, rank)) }
