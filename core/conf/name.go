package conf

import (
	"strconv"
	"strings"

	"github.com/bambooladder/bambooladder/core/fault"
)

// AdapterVersion identifies one version of an adapter.
type AdapterVersion struct {
	Adapter string
	Version int
}

// String returns the form adapter@version, which callers use as the model name.
func (av AdapterVersion) String() string {
	return av.Adapter + "@" + strconv.Itoa(av.Version)
}

// ParseAdapterVersion parses a model name of the form adapter@version. Errors are of kind
// fault.Invalid.
func ParseAdapterVersion(name string) (AdapterVersion, error) {
	adapter, digits, found := strings.Cut(name, "@")
	if !found || adapter == "" {
		return AdapterVersion{}, fault.New(fault.Invalid,
			"model "+strconv.Quote(name)+" names no version",
			"name the adapter and its version, as in batch-sheet@3")
	}
	version, err := strconv.Atoi(digits)
	if err != nil || version < 1 || strconv.Itoa(version) != digits {
		return AdapterVersion{}, fault.New(fault.Invalid,
			"model "+strconv.Quote(name)+" has a version that is not a whole number from 1",
			"name the adapter and its version, as in batch-sheet@3")
	}
	return AdapterVersion{Adapter: adapter, Version: version}, nil
}
