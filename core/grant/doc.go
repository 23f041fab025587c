// Package grant decides for one engine which adapters it keeps loaded and which requests entry
// nodes may send to it.
//
// A granted request pins its adapter: the adapter is not unloaded until the entry node releases
// the grant. The engine identifies adapters by model, name and version, so the agent assigns no
// handles. It keeps a sequence number, the count of the orders that it has accepted. Each order
// carries the sequence number that it expects, so an order whose answer was lost can take
// effect only until the engine accepts another one. At most one order is in flight. The package
// does no I/O and reads no clock: its methods take events with their time and return the
// actions that the agent has to carry out.
package grant
