// Package conf holds the settings tree and the settings files of the
// processes, reads them from YAML and checks them. The types are generated from
// schema/settings.json.
package conf
