// Package runs keeps an agent's attempts and decides whether one may run.
//
// An attempt runs at most once: it is accepted once, refused when it is addressed
// to another boot, when it was voided, or when its claim is so old that a voided
// attempt might have been forgotten. The package is pure.
package runs
