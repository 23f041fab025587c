// Package roster holds what an entry node believes of the backend servers, from the
// records that they write about themselves in the platform's log.
//
// Records that vanish while the log is disturbed are not believed at once: a backend
// server that lives writes again within ReturnMax of the log's return.
package roster
