// Package client gives orders to the backend server and forwards requests to it.
package client
