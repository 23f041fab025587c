// Package limit admits or refuses requests by the limits of their team. It reads no clock: the
// caller passes in the current time.
package limit
