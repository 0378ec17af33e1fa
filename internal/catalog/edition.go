package catalog

import "crocusglade.example/crocusglade/internal/objectstore"

// Edition identifies a state of the configuration: by the revision of the store, an objectstore.Revision, and by the version that the operator gave
// it, which increases.
type Edition struct{ Revision, Version uint64 }

// Edition returns the edition of a catalog.
func (c *Catalog) Edition() Edition { return Edition{c.Revision, c.Version} }

// Supersedes reports whether e is newer than other. Within an era of the store the revision says it. A store that has come back from a copy may
// hold an older version than before until the operator writes the lost one again, so across eras the operator's version goes first: a
// key that was withdrawn isn't accepted again because the store forgot that.
func (e Edition) Supersedes(other Edition) bool {
	if !objectstore.SameEra(e.Revision, other.Revision) && e.Version != other.Version {
		return e.Version > other.Version
	}
	return e.Revision > other.Revision
}
