// Package grant decides for one engine which adapters it holds and which requests
// entry nodes may send to it.
//
// A grant pins the adapter until the entry node releases it. The engine names
// adapters itself and counts its orders: each order names the count that it expects,
// so an order whose answer was lost can take effect only while no later one has. One
// order is under way at a time. The package is pure: events and their time go in,
// actions come out.
package grant
