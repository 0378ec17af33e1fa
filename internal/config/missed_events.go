package config

import "crocusglade.example/crocusglade/internal/apitypes"

// missedEvents returns the events that turn the snapshot's objects of one kind into those of a list at the given revision. A deletion
// gets the revision of the list.
func (s *Snapshot) missedEvents(kind string, items []apitypes.Object, revision uint64) []apitypes.Event {
	var events []apitypes.Event
	listed := make(map[string]bool, len(items))
	for _, o := range items {
		listed[o.Name] = true
		if o.Version > s.newestVersion(objectKey{kind, o.Name}) {
			events = append(events, apitypes.Event{Revision: o.Version, Type: apitypes.EventPut, Object: o})
		}
	}
	for k := range s.objects {
		if k.kind == kind && !listed[k.name] {
			events = append(events, apitypes.Event{Revision: revision, Type: apitypes.EventDelete,
				Object: apitypes.Object{Kind: kind, Name: k.name, Version: revision}})
		}
	}
	return events
}

// unappliedEvents returns those of the events that the snapshot does not reflect.
func (s *Snapshot) unappliedEvents(events []apitypes.Event) []apitypes.Event {
	var unapplied []apitypes.Event
	for _, e := range events {
		k := objectKey{e.Object.Kind, e.Object.Name}
		_, exists := s.objects[k]
		if e.Revision > s.newestVersion(k) && (e.Type == apitypes.EventPut || exists) {
			unapplied = append(unapplied, e)
		}
	}
	return unapplied
}
