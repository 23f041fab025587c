package spread

import (
	"slices"

	"github.com/bambooladder/bambooladder/core/grant"
)

// adapterVersion is a version of an adapter.
type adapterVersion struct {
	adapter string
	version int
}

// hostCache lists the adapter versions that should be in the cache of an engine's host, the most
// recently loaded last.
type hostCache struct {
	versions []adapterVersion
}

// add moves or appends an adapter version to the end and drops the oldest beyond the limit.
func (hc *hostCache) add(adapter string, version int) {
	av := adapterVersion{adapter: adapter, version: version}
	if ix := slices.Index(hc.versions, av); ix >= 0 {
		hc.versions = slices.Delete(hc.versions, ix, ix+1)
	}
	hc.versions = append(hc.versions, av)
	if len(hc.versions) > grant.HostCacheMax {
		hc.versions = slices.Delete(hc.versions, 0, len(hc.versions)-grant.HostCacheMax)
	}
}

// hasAdapter reports whether the given version of an adapter or a newer one is listed.
func (hc *hostCache) hasAdapter(adapter string, minVersion int) bool {
	return slices.ContainsFunc(hc.versions, func(av adapterVersion) bool { return av.adapter == adapter && av.version >= minVersion })
}
