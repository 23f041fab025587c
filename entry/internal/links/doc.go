// Package links maintains an entry node's connections to agents. It keeps the reports of their
// runners, from which runners are chosen, and delivers frames to the attempts in flight.
package links
