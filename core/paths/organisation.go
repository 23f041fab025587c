package paths

// Digest is the SHA-256 hash of a key, by which the key is recognized without being kept.
type Digest [32]byte

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
