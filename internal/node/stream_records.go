package node

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"crocusglade.example/crocusglade/internal/continuation"
	"crocusglade.example/crocusglade/internal/ctxtime"
	"crocusglade.example/crocusglade/internal/objectstore"
	"crocusglade.example/crocusglade/internal/vmlink"
)

const (
	// versionRecordName is the name of the record of the software versions of services.
	versionRecordName = "software-versions"
	// journalPrefix begins the names of the journals of streams; the VM that writes it follows.
	journalPrefix = "streams-"
	// recordRetryDelay is the delay after a failed call for a record, recordInterval the time between two checks of the record of software
	// versions.
	recordRetryDelay = 300 * time.Millisecond
	recordInterval   = 30 * time.Second
	// journalInterval is the time between two writes of the journal while streams begin. Those that began since the last write go on nowhere if
	// all VMs are killed.
	journalInterval = 100 * time.Millisecond
	// journalWriters is the number of VMs that write a journal.
	journalWriters = 2
)

// maintainStreamRecords reads the records of software versions and of streams from the store, and keeps them up to date, until ctx ends.
func (n *Node) maintainStreamRecords(ctx context.Context) error {
	journalRevision, ok := n.loadStreamRecords(ctx)
	if !ok {
		return nil
	}
	go n.writeJournal(ctx, journalRevision)
	newEra := n.Store.Eras().Changed()
	restored := false
	for ctx.Err() == nil {
		if err := n.syncVersionRecord(ctx, restored); err != nil {
			n.log.Warn().Err(err).Msg("reading or writing the record of software versions failed")
			ctxtime.Sleep(ctx, recordRetryDelay)
			continue
		}
		restored = false
		timer := time.NewTimer(recordInterval)
		select {
		case <-ctx.Done():
		case <-n.streams.Changed():
		case <-timer.C:
		case <-newEra:
			newEra, restored = n.Store.Eras().Changed(), true
		}
		timer.Stop()
	}
	return nil
}

// loadStreamRecords reads all records, and returns the revision of this VM's journal. It tries until ctx ends, and returns false then.
func (n *Node) loadStreamRecords(ctx context.Context) (journalRevision uint64, ok bool) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, vmCallTimeout)
		items, _, err := n.Store.List(callCtx, n.Kinds.Records)
		cancel()
		if err != nil {
			n.log.Warn().Err(err).Msg("listing the records of VMs failed")
			ctxtime.Sleep(ctx, recordRetryDelay)
			continue
		}
		versions := continuation.Record{}
		for _, o := range items {
			var err error
			switch {
			case o.Name == versionRecordName:
				err = json.Unmarshal(o.Data, &versions)
			case strings.HasPrefix(o.Name, journalPrefix):
				var j continuation.Journal
				if err = json.Unmarshal(o.Data, &j); err == nil {
					err = n.streams.LoadJournal(j)
				}
				if o.Name == journalPrefix+n.VM {
					journalRevision = o.Version
				}
			}
			if err != nil {
				n.log.Error().Str("object", o.Name).Err(err).Msg("record of a VM is invalid")
			}
		}
		n.streams.SetRecord(versions)
		return journalRevision, true
	}
	return 0, false
}

// syncVersionRecord reads the record of software versions, and writes it if this VM has to. A conflict means that another VM wrote it; the next try
// reads it. restored is true if the store has come back from a copy and may hold an older record than it did.
func (n *Node) syncVersionRecord(ctx context.Context, restored bool) error {
	if _, differs := n.streams.Record(); !differs && !restored || !n.readsStore(n.Kinds.Endpoints) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, vmCallTimeout)
	defer cancel()
	stored := continuation.Record{}
	o, err := n.Store.Get(ctx, n.Kinds.Records, versionRecordName)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	if err == nil {
		if err := json.Unmarshal(o.Data, &stored); err != nil {
			return errors.Wrap(err, "decode the record of software versions; delete the object if no VM runs")
		}
	}
	n.streams.SetRecord(stored)
	record, differs := n.streams.Record()
	if !differs {
		return nil
	}
	data, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode the record of software versions")
	}
	if _, err := n.Store.Put(ctx, n.Kinds.Records, versionRecordName, data, o.Version); err != nil {
		return err
	}
	n.streams.SetRecord(record)
	n.log.Info().RawJSON("versions", data).Msg("software versions recorded")
	return nil
}

// writesJournal reports whether this VM is one of the first journalWriters that read the endpoints from the store.
func (n *Node) writesJournal() bool {
	if !n.readsStore(n.Kinds.Endpoints) {
		return false
	}
	own, earlier := newWatchRank(n.VM, n.LinkMbps), 0
	for _, vm := range n.recentWatchers(n.Kinds.Endpoints, maxWatcherAge) {
		if vm.rank.compare(own) < 0 {
			earlier++
		}
	}
	return earlier < journalWriters
}

// mayWriteJournal reports whether another VM may write a journal, so that it has to know all streams.
func (n *Node) mayWriteJournal(vm vmlink.PeerStatus) bool {
	return vm.Watches[n.Kinds.Endpoints].FromStore
}

// writeJournal writes the streams that may be in progress to the store while several software versions are in service, until ctx ends.
func (n *Node) writeJournal(ctx context.Context, revision uint64) {
	name := journalPrefix + n.VM
	for ctxtime.Sleep(ctx, journalInterval) {
		if era, _ := n.Store.Eras().Newest(); era != objectstore.Revision(revision).Era() {
			revision = uint64(objectstore.Absent(era)) // until the first write shows what the copy holds
			n.streams.RepeatJournal()
		}
		journal, changed := n.streams.Journal()
		if !changed || !n.writesJournal() {
			continue
		}
		data, err := json.Marshal(journal)
		if err != nil {
			n.log.Error().Err(err).Msg("encoding the journal of streams failed")
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, vmCallTimeout)
		written, err := n.Store.Put(callCtx, n.Kinds.Records, name, data, revision)
		if err == nil {
			revision = written
		} else {
			n.streams.RepeatJournal()
			o, getErr := n.Store.Get(callCtx, n.Kinds.Records, name)
			if getErr == nil || errors.Is(getErr, objectstore.ErrNotFound) {
				revision = o.Version // the write may have been done, or the object deleted
			}
		}
		cancel()
		if err != nil && !errors.Is(err, objectstore.ErrConflict) {
			n.log.Warn().Err(err).Msg("writing the journal of streams failed")
			ctxtime.Sleep(ctx, recordRetryDelay)
		}
	}
}
