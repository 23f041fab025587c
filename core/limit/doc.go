// Package limit admits or refuses requests by team. It is pure: the caller gives the time.
package limit
