// Package weight simulates the weight store, which limits the rate of loads and slows down when
// many are in flight.
package weight
