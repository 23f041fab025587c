package conf

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

// ValidationError is an invalid value in the settings.
type ValidationError struct {
	// Path is the path of the value, its keys joined by dots, as in teams.recipe.tokens[0].role.
	Path   string
	Detail string
	Remedy string
}

// Error returns the path, what is wrong and how to correct it.
func (ve *ValidationError) Error() string {
	return ve.Path + ": " + ve.Detail + "; " + ve.Remedy
}

// yamlPath returns the path in the syntax of the YAML library, as in $.'teams'.'recipe'.
func (ve *ValidationError) yamlPath() string {
	expr := "$"
	for _, key := range strings.Split(ve.Path, ".") {
		name, index, found := strings.Cut(key, "[")
		expr += ".'" + name + "'"
		if found {
			expr += "[" + index
		}
	}
	return expr
}

// invalid returns a ValidationError whose detail is built from the format.
func invalid(path, remedy, format string, args ...any) *ValidationError {
	return &ValidationError{Path: path, Detail: fmt.Sprintf(format, args...), Remedy: remedy}
}

// Check returns an error for the first invalid value, or nil. Models are not checked. Adapters,
// services and teams are checked in the order of their names, so that the result does not depend on
// the order of a map.
func (tr Tree) Check() *ValidationError {
	if tr.Deployment != nil {
		if ve := tr.Deployment.check(); ve != nil {
			return ve
		}
	}
	for _, name := range slices.Sorted(maps.Keys(tr.Adapters)) {
		if ve := tr.checkAdapter(name); ve != nil {
			return ve
		}
	}
	for _, name := range slices.Sorted(maps.Keys(tr.Services)) {
		if ve := tr.checkService(name); ve != nil {
			return ve
		}
	}
	for _, name := range slices.Sorted(maps.Keys(tr.Teams)) {
		if ve := tr.checkTeam(name); ve != nil {
			return ve
		}
	}
	return nil
}

// check returns an error for the first invalid value of the deployment's settings, or nil.
func (de *Deployment) check() *ValidationError {
	switch {
	case de.StoreLoadsPerSecond <= 0:
		return invalid("deployment.store_loads_per_second", "give the rate the weight store allows", "the rate must be above zero")
	case de.StoreLoadsInFlight < 1:
		return invalid("deployment.store_loads_in_flight", "give at least 1", "%d is too few", de.StoreLoadsInFlight)
	case de.RequestTimeoutMs < 1:
		return invalid("deployment.request_timeout_ms", "give at least 1", "%d is too short", de.RequestTimeoutMs)
	case de.BodyBytes < 1:
		return invalid("deployment.body_bytes", "give at least 1", "%d is too small", de.BodyBytes)
	case de.RetryPercent < 0 || de.RetryPercent > 100:
		return invalid("deployment.retry_percent", "give 0 to 100", "%d is no share", de.RetryPercent)
	}
	return nil
}

// checkAdapter returns an error for the first invalid value of an adapter, or nil.
func (tr Tree) checkAdapter(name string) *ValidationError {
	ad := tr.Adapters[name]
	path := "adapters." + name
	if ve := checkName(path, name); ve != nil {
		return ve
	}
	if _, ok := tr.Models[ad.Model]; !ok {
		return invalid(path+".model", "add it under models or correct the name", "base model %q does not exist", ad.Model)
	}
	for ix, version := range ad.Versions {
		if version < 1 {
			return invalid(fmt.Sprintf("%s.versions[%d]", path, ix), "give a whole number from 1", "version %d is not allowed", version)
		}
	}
	return nil
}

// checkService returns an error for the first invalid value of a plain service, or nil.
func (tr Tree) checkService(name string) *ValidationError {
	path := "services." + name
	if ve := checkName(path, name); ve != nil {
		return ve
	}
	for ix, ca := range tr.Services[name].Calls {
		if ca.Method == "" || ca.Method != strings.ToUpper(ca.Method) {
			return invalid(fmt.Sprintf("%s.calls[%d].method", path, ix), "write it in capitals, as in POST", "method %q is not allowed", ca.Method)
		}
		if !strings.HasPrefix(ca.Path, "/") {
			return invalid(fmt.Sprintf("%s.calls[%d].path", path, ix), "start it with /", "path %q is not allowed", ca.Path)
		}
	}
	return nil
}

// checkTeam returns an error for the first invalid value of a team's subtree, or nil.
func (tr Tree) checkTeam(name string) *ValidationError {
	te := tr.Teams[name]
	path := "teams." + name
	if ve := checkName(path, name); ve != nil {
		return ve
	}
	for ix, ref := range te.Adapters {
		refPath := fmt.Sprintf("%s.adapters[%d]", path, ix)
		av, err := ParseAdapterVersion(ref)
		if err != nil {
			return invalid(refPath, "write name@version, as in batch-sheet@3", "%q is not an adapter with a version", ref)
		}
		if !slices.Contains(tr.Adapters[av.Adapter].Versions, av.Version) {
			return invalid(refPath, "add it under adapters or correct the name", "adapter %s does not exist", ref)
		}
	}
	for ix, ref := range te.Services {
		if _, ok := tr.Services[ref]; !ok {
			return invalid(fmt.Sprintf("%s.services[%d]", path, ix), "add it under services or correct the name", "service %q does not exist", ref)
		}
	}
	if _, ok := urgencyLevels[te.Urgency]; !ok {
		return invalid(path+".urgency", "give background, standard or urgent", "urgency %q does not exist", te.Urgency)
	}
	if ve := te.Limits.check(path + ".limits"); ve != nil {
		return ve
	}
	if ve := te.Weights.check(path + ".weights"); ve != nil {
		return ve
	}
	return checkTokens(path, te.Tokens)
}

// check returns an error for the first invalid limit, or nil.
func (li Limits) check(path string) *ValidationError {
	switch {
	case li.RequestsPerSecond < 0:
		return invalid(path+".requests_per_second", "give 0 for no limit", "the rate is below zero")
	case li.Burst < 0:
		return invalid(path+".burst", "give 0 or more", "%d is below zero", li.Burst)
	case li.InFlight < 0:
		return invalid(path+".in_flight", "give 0 for no limit", "%d is below zero", li.InFlight)
	}
	return nil
}

// check returns an error for the first negative weight, or nil.
func (we Weights) check(path string) *ValidationError {
	switch {
	case we.LoadStall < 0:
		return invalid(path+".load_stall", "give 0 or more", "the weight is below zero")
	case we.BatchEfficiency < 0:
		return invalid(path+".batch_efficiency", "give 0 or more", "the weight is below zero")
	case we.Queueing < 0:
		return invalid(path+".queueing", "give 0 or more", "the weight is below zero")
	case we.RegionCrossing < 0:
		return invalid(path+".region_crossing", "give 0 or more", "the weight is below zero")
	}
	return nil
}

// checkTokens returns an error for the first invalid token in the list, or nil.
func checkTokens(path string, tokens []Token) *ValidationError {
	for ix, to := range tokens {
		tokenPath := fmt.Sprintf("%s.tokens[%d]", path, ix)
		if hash, err := hex.DecodeString(to.Sha256); err != nil || len(hash) != 32 {
			return invalid(tokenPath+".sha256", "give the hash that ctl token prints", "the hash is not 64 hexadecimal digits")
		}
		if to.Role != TokenRoleCaller && to.Role != TokenRoleOperator {
			return invalid(tokenPath+".role", "give caller or operator", "role %q does not exist", to.Role)
		}
	}
	return nil
}

// checkName rejects empty names and names with characters that have a meaning of their own in
// settings paths or in adapter@version.
func checkName(path, name string) *ValidationError {
	if name == "" || strings.ContainsAny(name, "@/.'[] \t\n") {
		return invalid(path, "use letters, digits, - and _", "name %q is not allowed", name)
	}
	return nil
}

// check returns an error for the first invalid value in the settings file of an entry node whose
// requests go through agents, or nil.
func (es EntrySettings) check() *ValidationError {
	if ve := es.Place.check(); ve != nil {
		return ve
	}
	if ve := checkAddress("caller_address", es.CallerAddress); ve != nil {
		return ve
	}
	if ve := checkAddress("admin_address", es.AdminAddress); ve != nil {
		return ve
	}
	if ve := checkURL("log_url", es.LogURL); ve != nil {
		return ve
	}
	return checkURL("hosts_url", es.HostsURL)
}

// namedAddress is an address and its path in the settings file.
type namedAddress struct {
	path    string
	address string
}

// checkAddresses returns an error for the first invalid address in the list, or nil.
func checkAddresses(addresses []namedAddress) *ValidationError {
	for _, na := range addresses {
		if ve := checkAddress(na.path, na.address); ve != nil {
			return ve
		}
	}
	return nil
}

// check returns an error for the first invalid value in the settings file of an agent that runs the
// requests sent to it, or nil.
func (as AgentSettings) check() *ValidationError {
	if ve := as.Place.check(); ve != nil {
		return ve
	}
	if ve := checkAddress("listen_address", as.ListenAddress); ve != nil {
		return ve
	}
	if ve := checkURL("backend_url", as.BackendURL); ve != nil {
		return ve
	}
	switch {
	case as.Kind != AgentSettingsKindEngine && as.Kind != AgentSettingsKindService:
		return invalid("kind", "give engine or service", "kind %q does not exist", as.Kind)
	case as.Kind == AgentSettingsKindEngine && as.Slots < 1:
		return invalid("slots", "give the engine's number of slots", "an engine needs at least one slot")
	case as.BatchPlaces < 1:
		return invalid("batch_places", "give at least 1", "%d is too few", as.BatchPlaces)
	}
	return nil
}

// check returns an error for the first name of the place that is not allowed, or nil.
func (pl Place) check() *ValidationError {
	if ve := checkName("place.name", pl.Name); ve != nil {
		return ve
	}
	if ve := checkName("place.region", pl.Region); ve != nil {
		return ve
	}
	return checkName("place.zone", pl.Zone)
}

// checkAddress rejects an address that is not an IP address and a port.
func checkAddress(path, address string) *ValidationError {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return invalid(path, "give an IP number and a port, as in 127.0.0.1:8080", "address %q is not allowed", address)
	}
	return nil
}

// checkURL rejects a URL without a scheme or a host.
func checkURL(path, value string) *ValidationError {
	if ur, err := url.Parse(value); err != nil || ur.Scheme == "" || ur.Host == "" {
		return invalid(path, "give a URL, as in http://127.0.0.1:9001", "URL %s is not allowed", strconv.Quote(value))
	}
	return nil
}
