package continuation

import (
	"maps"
	"slices"
	"time"

	"crocusglade.example/crocusglade/internal/bootclock"
)

// versionRetention is how long a software version counts as one of its service's after no endpoint of it is listed any more. A VM that starts
// can't tell which version began a stream while more than one counts.
const versionRetention = time.Hour

// mixedTime is how long streams of a software version may be in progress after no endpoint of it is listed any more.
const mixedTime = 30 * time.Second

// SeenVersion is a software version of a service, and how long ago an endpoint of it was listed last.
type SeenVersion struct {
	Service, Version string
	Age              time.Duration
}

// versionSet holds the software versions of services with the instant at which each was last known to be listed. It isn't safe for concurrent use.
type versionSet map[string]map[string]bootclock.Instant

// add records that a version was listed at an instant. It returns whether the version is new.
func (v versionSet) add(service, version string, at bootclock.Instant) bool {
	if version == "" || bootclock.Since(at) > versionRetention {
		return false
	}
	if v[service] == nil {
		v[service] = make(map[string]bootclock.Instant)
	}
	old, known := v[service][version]
	if !known || at > old {
		v[service][version] = at
	}
	return !known
}

// mixed reports whether endpoints of several versions of a service were listed lately, so that streams of several may be in progress.
func (v versionSet) mixed(service string) bool {
	recent := 0
	for _, at := range v[service] {
		if bootclock.Since(at) < mixedTime {
			recent++
		}
	}
	return recent > 1
}

func (v versionSet) prune() {
	for _, versions := range v {
		maps.DeleteFunc(versions, func(_ string, at bootclock.Instant) bool { return bootclock.Since(at) > versionRetention })
	}
}

// sole returns the version of a service that has only one.
func (v versionSet) sole(service string) (string, bool) {
	if len(v[service]) != 1 {
		return "", false
	}
	for version := range v[service] {
		return version, true
	}
	return "", false
}

// names returns the sorted versions by service.
func (v versionSet) names() Record {
	r := make(Record, len(v))
	for service, versions := range v {
		if len(versions) > 0 {
			r[service] = slices.Sorted(maps.Keys(versions))
		}
	}
	return r
}

// Record is the sorted software versions of each service, as the store keeps them, so that VMs that start know which versions may have begun
// streams.
type Record map[string][]string

// Equal reports whether two records are the same.
func (r Record) Equal(other Record) bool {
	return maps.EqualFunc(r, other, func(a, b []string) bool { return slices.Equal(a, b) })
}
