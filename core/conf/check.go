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

// FindingError is a fault in checked settings.
type FindingError struct {
	// Path is the place in the tree, its parts joined by dots.
	Path   string
	Detail string
	Remedy string
}

// Error returns the place, what is wrong and the remedy.
func (fi *FindingError) Error() string {
	return fi.Path + ": " + fi.Detail + "; " + fi.Remedy
}

// yamlPath returns the place in the form the YAML library reads.
func (fi *FindingError) yamlPath() string {
	path := "$"
	for _, part := range strings.Split(fi.Path, ".") {
		name, index, found := strings.Cut(part, "[")
		path += ".'" + name + "'"
		if found {
			path += "[" + index
		}
	}
	return path
}

// find builds a finding.
func find(path, remedy, format string, args ...any) *FindingError {
	return &FindingError{Path: path, Detail: fmt.Sprintf(format, args...), Remedy: remedy}
}

// Check returns the first fault in the order of the paths, or nil.
func (tr Tree) Check() *FindingError {
	if tr.Deployment != nil {
		if fi := tr.Deployment.check(); fi != nil {
			return fi
		}
	}
	for _, name := range slices.Sorted(maps.Keys(tr.Adapters)) {
		if fi := tr.checkAdapter(name); fi != nil {
			return fi
		}
	}
	for _, name := range slices.Sorted(maps.Keys(tr.Services)) {
		if fi := tr.checkService(name); fi != nil {
			return fi
		}
	}
	for _, name := range slices.Sorted(maps.Keys(tr.Teams)) {
		if fi := tr.checkTeam(name); fi != nil {
			return fi
		}
	}
	return nil
}

// check returns the first fault of the deployment's settings.
func (de *Deployment) check() *FindingError {
	switch {
	case de.StoreLoadsPerSecond <= 0:
		return find("deployment.store_loads_per_second", "give the rate the weight store allows", "the rate must be above zero")
	case de.StoreLoadsInFlight < 1:
		return find("deployment.store_loads_in_flight", "give at least 1", "%d is too few", de.StoreLoadsInFlight)
	case de.RequestTimeoutMs < 1:
		return find("deployment.request_timeout_ms", "give at least 1", "%d is too short", de.RequestTimeoutMs)
	case de.BodyBytes < 1:
		return find("deployment.body_bytes", "give at least 1", "%d is too small", de.BodyBytes)
	case de.RetryPercent < 0 || de.RetryPercent > 100:
		return find("deployment.retry_percent", "give 0 to 100", "%d is no share", de.RetryPercent)
	}
	return nil
}

// checkAdapter returns the first fault of an adapter.
func (tr Tree) checkAdapter(name string) *FindingError {
	ad := tr.Adapters[name]
	path := "adapters." + name
	if fi := checkName(path, name); fi != nil {
		return fi
	}
	if _, ok := tr.Models[ad.Model]; !ok {
		return find(path+".model", "add it under models or correct the name", "base model %q does not exist", ad.Model)
	}
	for ix, version := range ad.Versions {
		if version < 1 {
			return find(fmt.Sprintf("%s.versions[%d]", path, ix), "give a whole number from 1", "version %d is not allowed", version)
		}
	}
	return nil
}

// checkService returns the first fault of a plain service.
func (tr Tree) checkService(name string) *FindingError {
	path := "services." + name
	if fi := checkName(path, name); fi != nil {
		return fi
	}
	for ix, ca := range tr.Services[name].Calls {
		if ca.Method == "" || ca.Method != strings.ToUpper(ca.Method) {
			return find(fmt.Sprintf("%s.calls[%d].method", path, ix), "write it in capitals, as in POST", "method %q is not allowed", ca.Method)
		}
		if !strings.HasPrefix(ca.Path, "/") {
			return find(fmt.Sprintf("%s.calls[%d].path", path, ix), "start it with /", "path %q is not allowed", ca.Path)
		}
	}
	return nil
}

// checkTeam returns the first fault of a team's subtree.
func (tr Tree) checkTeam(name string) *FindingError {
	te := tr.Teams[name]
	path := "teams." + name
	if fi := checkName(path, name); fi != nil {
		return fi
	}
	for ix, ref := range te.Adapters {
		place := fmt.Sprintf("%s.adapters[%d]", path, ix)
		av, err := ParseAdapterVersion(ref)
		if err != nil {
			return find(place, "write name@version, as in batch-sheet@3", "%q is not an adapter with a version", ref)
		}
		if !slices.Contains(tr.Adapters[av.Adapter].Versions, av.Version) {
			return find(place, "add it under adapters or correct the name", "adapter %s does not exist", ref)
		}
	}
	for ix, ref := range te.Services {
		if _, ok := tr.Services[ref]; !ok {
			return find(fmt.Sprintf("%s.services[%d]", path, ix), "add it under services or correct the name", "service %q does not exist", ref)
		}
	}
	if _, ok := urgencies[te.Urgency]; !ok {
		return find(path+".urgency", "give background, standard or urgent", "urgency %q does not exist", te.Urgency)
	}
	if fi := te.Limits.check(path + ".limits"); fi != nil {
		return fi
	}
	if fi := te.Weights.check(path + ".weights"); fi != nil {
		return fi
	}
	return checkTokens(path, te.Tokens)
}

// check returns the first fault of a team's limits.
func (li Limits) check(path string) *FindingError {
	switch {
	case li.RequestsPerSecond < 0:
		return find(path+".requests_per_second", "give 0 for no limit", "the rate is below zero")
	case li.Burst < 0:
		return find(path+".burst", "give 0 or more", "%d is below zero", li.Burst)
	case li.InFlight < 0:
		return find(path+".in_flight", "give 0 for no limit", "%d is below zero", li.InFlight)
	}
	return nil
}

// check returns the first fault of a team's weights.
func (we Weights) check(path string) *FindingError {
	switch {
	case we.LoadStall < 0:
		return find(path+".load_stall", "give 0 or more", "the weight is below zero")
	case we.BatchEfficiency < 0:
		return find(path+".batch_efficiency", "give 0 or more", "the weight is below zero")
	case we.Queueing < 0:
		return find(path+".queueing", "give 0 or more", "the weight is below zero")
	case we.RegionCrossing < 0:
		return find(path+".region_crossing", "give 0 or more", "the weight is below zero")
	}
	return nil
}

// checkTokens returns the first fault of a list of tokens.
func checkTokens(path string, tokens []Token) *FindingError {
	for ix, to := range tokens {
		place := fmt.Sprintf("%s.tokens[%d]", path, ix)
		if raw, err := hex.DecodeString(to.Sha256); err != nil || len(raw) != 32 {
			return find(place+".sha256", "give the hash that ctl token prints", "the hash is not 64 hexadecimal digits")
		}
		if to.Role != TokenRoleCaller && to.Role != TokenRoleOperator {
			return find(place+".role", "give caller or operator", "role %q does not exist", to.Role)
		}
	}
	return nil
}

// checkName refuses names that would not survive in a path or a model name.
func checkName(path, name string) *FindingError {
	if name == "" || strings.ContainsAny(name, "@/.'[] \t\n") {
		return find(path, "use letters, digits, - and _", "name %q is not allowed", name)
	}
	return nil
}

// check returns the first fault of an entry node's settings.
func (es EntrySettings) check() *FindingError {
	if fi := es.Place.check(); fi != nil {
		return fi
	}
	if fi := checkAddress("caller_address", es.CallerAddress); fi != nil {
		return fi
	}
	if fi := checkAddress("admin_address", es.AdminAddress); fi != nil {
		return fi
	}
	if fi := checkURL("log_url", es.LogURL); fi != nil {
		return fi
	}
	return checkURL("hosts_url", es.HostsURL)
}

// namedAddress is an address with its place in the settings.
type namedAddress struct {
	path    string
	address string
}

// checkAddresses returns the first fault of addresses.
func checkAddresses(list []namedAddress) *FindingError {
	for _, na := range list {
		if fi := checkAddress(na.path, na.address); fi != nil {
			return fi
		}
	}
	return nil
}

// check returns the first fault of the settings of an entry node that sends requests itself.
func (de DirectEntrySettings) check() *FindingError {
	if fi := de.Place.check(); fi != nil {
		return fi
	}
	fi := checkAddresses([]namedAddress{
		{"caller_address", de.CallerAddress}, {"ready_address", de.ReadyAddress}, {"peer_address", de.PeerAddress},
		{"log_address", de.LogAddress},
	})
	switch {
	case fi != nil:
		return fi
	case de.AgentPort < 1 || de.AgentPort > 65535:
		return find("agent_port", "give the port that agents listen on", "%d is no port", de.AgentPort)
	case de.StopMs < 1:
		return find("stop_ms", "give the time until the kill", "%d is too short", de.StopMs)
	case de.RetryWindowMs < 1:
		return find("retry_window_ms", "give the time over which retries are counted", "%d is too short", de.RetryWindowMs)
	case de.Regions[de.Place.Zone] == "":
		return find("regions", "give the region of each availability zone", "zone %q has no region", de.Place.Zone)
	}
	return nil
}

// check returns the first fault of the settings of an agent that grants requests.
func (da DirectAgentSettings) check() *FindingError {
	if fi := da.Place.check(); fi != nil {
		return fi
	}
	return checkAddresses([]namedAddress{{"listen_address", da.ListenAddress}, {"backend_address", da.BackendAddress}})
}

// check returns the first fault of an agent's settings.
func (as AgentSettings) check() *FindingError {
	if fi := as.Place.check(); fi != nil {
		return fi
	}
	if fi := checkAddress("listen_address", as.ListenAddress); fi != nil {
		return fi
	}
	if fi := checkURL("backend_url", as.BackendURL); fi != nil {
		return fi
	}
	switch {
	case as.Kind != AgentSettingsKindEngine && as.Kind != AgentSettingsKindService:
		return find("kind", "give engine or service", "kind %q does not exist", as.Kind)
	case as.Kind == AgentSettingsKindEngine && as.Slots < 1:
		return find("slots", "give the engine's number of slots", "an engine needs at least one slot")
	case as.BatchPlaces < 1:
		return find("batch_places", "give at least 1", "%d is too few", as.BatchPlaces)
	}
	return nil
}

// check returns the first fault of a place.
func (pl Place) check() *FindingError {
	if fi := checkName("place.name", pl.Name); fi != nil {
		return fi
	}
	if fi := checkName("place.region", pl.Region); fi != nil {
		return fi
	}
	return checkName("place.zone", pl.Zone)
}

// checkAddress refuses an address that is not an IP number and a port.
func checkAddress(path, address string) *FindingError {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return find(path, "give an IP number and a port, as in 127.0.0.1:8080", "address %q is not allowed", address)
	}
	return nil
}

// checkURL refuses a URL without scheme or host.
func checkURL(path, value string) *FindingError {
	if ur, err := url.Parse(value); err != nil || ur.Scheme == "" || ur.Host == "" {
		return find(path, "give a URL, as in http://127.0.0.1:9001", "URL %s is not allowed", strconv.Quote(value))
	}
	return nil
}
