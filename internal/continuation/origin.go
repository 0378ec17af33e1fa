// Package continuation decides at which endpoints a stream may go on. What two software versions of a service write doesn't fit together, so a stream
// goes on only at the version that began it.
//
// An Origin is that rule for one stream; all choices of endpoints ask it. A Tracker knows the origins of streams that callers may take up at any
// VM: from what this VM and the others have begun, and from the versions that a service has had.
package continuation

// Origin is the service and the software version that began a stream. The zero value is that of a stream that hasn't begun: it may begin anywhere.
type Origin struct {
	Service, Version string
	begun            bool
}

// Begun returns the origin of a stream. An empty version is one that isn't known: such a stream goes on nowhere.
func Begun(service, version string) Origin {
	return Origin{Service: service, Version: version, begun: true}
}

// HasBegun reports whether the stream has begun.
func (o Origin) HasBegun() bool { return o.begun }

// Allows reports whether the stream may go on at an endpoint of a service with a software version.
func (o Origin) Allows(service, version string) bool {
	return !o.begun || o.Version != "" && o.Version == version && o.Service == service
}

// SharesCache reports whether engines of two software versions can use each other's KV caches.
func SharesCache(version, other string) bool { return version == other }
