// Package admin holds the bodies of the administration API. The types are
// generated from schema/admin.json.
package admin
