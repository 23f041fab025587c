// Package conf defines the settings tree that operators change and the settings
// files of the processes. It reads both from YAML and validates them. The types
// are generated from schema/settings.json.
package conf
