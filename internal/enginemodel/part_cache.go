package enginemodel

import "container/list"

// keptParts are the parts of prompts that an engine keeps in the memory that its batch leaves free. Those that were not used for
// longest yield.
type keptParts struct {
	used    int
	order   *list.List // of Part, most recently used first
	entries map[string]*list.Element
}

// count returns the number of tokens at the start of a prompt that are kept.
func (k *keptParts) count(parts []Part) int {
	n := 0
	for _, p := range parts {
		if _, ok := k.entries[p.ID]; !ok {
			return n
		}
		n += p.Tokens
	}
	return n
}

// add keeps parts, and drops others beyond the capacity. The first part is shared by most prompts, so it is dropped last.
func (k *keptParts) add(parts []Part, capacity int) {
	for i := len(parts) - 1; i >= 0; i-- {
		if e, ok := k.entries[parts[i].ID]; ok {
			k.order.MoveToFront(e)
			continue
		}
		k.entries[parts[i].ID] = k.order.PushFront(parts[i])
		k.used += parts[i].Tokens
	}
	k.shrink(capacity)
}

func (k *keptParts) shrink(capacity int) {
	for k.used > capacity && k.order.Len() > 0 {
		last := k.order.Back()
		part := last.Value.(Part)
		k.order.Remove(last)
		delete(k.entries, part.ID)
		k.used -= part.Tokens
	}
}
