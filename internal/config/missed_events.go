package config

import "crocusglade.example/crocusglade/internal/apitypes"

// missed returns the events that lead from the snapshot to a list of one kind.
func (s *Snapshot) missed(kind string, items []apitypes.Object, revision uint64) []apitypes.Event {
	var events []apitypes.Event
	listed := make(map[string]bool, len(items))
	for _, o := range items {
		listed[o.Name] = true
		if o.Version > s.seen(objectKey{kind, o.Name}) {
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

// stillMissing returns the events that the snapshot does not reflect.
func (s *Snapshot) stillMissing(events []apitypes.Event) []apitypes.Event {
	var left []apitypes.Event
	for _, e := range events {
		k := objectKey{e.Object.Kind, e.Object.Name}
		_, exists := s.objects[k]
		if e.Revision > s.seen(k) && (e.Type == apitypes.EventPut || exists) {
			left = append(left, e)
		}
	}
	return left
}
