package config

import "crocusglade.example/crocusglade/internal/world"

// missed returns the events that lead from the snapshot to a list of one kind.
func (s *Snapshot) missed(kind string, items []world.Object, revision uint64) []world.Event {
	var events []world.Event
	listed := make(map[string]bool, len(items))
	for _, o := range items {
		listed[o.Name] = true
		if o.Version > s.seen(objectKey{kind, o.Name}) {
			events = append(events, world.Event{Revision: o.Version, Type: world.EventPut, Object: o})
		}
	}
	for k := range s.objects {
		if k.kind == kind && !listed[k.name] {
			events = append(events, world.Event{Revision: revision, Type: world.EventDelete,
				Object: world.Object{Kind: kind, Name: k.name, Version: revision}})
		}
	}
	return events
}

// stillMissing returns the events that the snapshot does not reflect.
func (s *Snapshot) stillMissing(events []world.Event) []world.Event {
	var left []world.Event
	for _, e := range events {
		k := objectKey{e.Object.Kind, e.Object.Name}
		_, exists := s.objects[k]
		if e.Revision > s.seen(k) && (e.Type == world.EventPut || exists) {
			left = append(left, e)
		}
	}
	return left
}
