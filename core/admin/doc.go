// Package admin defines the request and response bodies of the administration
// API. The types are generated from schema/admin.json.
package admin
