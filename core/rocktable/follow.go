package rocktable

import (
	"cmp"
	"strconv"
	"time"
)

// FollowedTableID identifies a table of the platform's store that every host keeps a copy of.
type FollowedTableID uint8

// The tables of the platform's store that hosts keep copies of.
const (
	ConfigurationTable FollowedTableID = 1 + iota
	BackendServersTable
	HostsTable
)

// String returns the table's name as used in logs and metrics.
func (id FollowedTableID) String() string {
	switch id {
	case ConfigurationTable:
		return "configuration"
	case BackendServersTable:
		return "backendServers"
	case HostsTable:
		return "hosts"
	}
	return "unknown"
}

// StoreVersion is a version of the platform's store. A store that is restored from an older copy begins a new era, in
// which versions of the last one are given out again with other content.
type StoreVersion struct {
	Era     uint64 // rises by one with each restoration; 0 if it is not known
	Version uint64
}

// Compare returns -1, 0 or 1 if v is older than, the same as or newer than another version.
func (v StoreVersion) Compare(other StoreVersion) int {
	return cmp.Or(cmp.Compare(v.Era, other.Era), cmp.Compare(v.Version, other.Version))
}

// String returns the era and the version as used in logs.
func (v StoreVersion) String() string {
	return strconv.FormatUint(v.Era, 10) + "/" + strconv.FormatUint(v.Version, 10)
}

// FollowedTable is this host's copy of a table of the platform's store.
type FollowedTable struct {
	ID      FollowedTableID
	Era     uint64              // of the store, in which Version and those of Rows were given out; 0 if it is not known
	Version uint64              // the copy has all changes up to it; 0 before the first one
	Rows    map[string]TableRow // by key; removed rows stay until ForgottenVersion passes them
	// AdvancedAt is when Version last rose.
	AdvancedAt time.Time
	Digest     uint64 // of the keys and versions of the rows that are not removed

	// ForgottenVersion is the highest version of a removal that Rows may lack. Changes after a lower version can only be
	// told by the complete table.
	ForgottenVersion uint64

	// Mixed is set while Rows has some changes after Version but perhaps not all of them.
	Mixed bool

	// ConfirmedAt is when the store, or a host that reaches it, last showed that the copy has all changes.
	ConfirmedAt time.Time
	Unconfirmed bool // the log says that it has not been confirmed for too long

	// Reads from the store.
	Reading     bool
	ReadNumber  uint64    // of the last read; the results of others are ignored
	ReadSince   time.Time // start of the last read
	WaitEnd     time.Time // end of its wait for a change; zero for a read of the complete table
	FullReadAt  time.Time // end of the last read of the complete table
	ReadAll     bool      // the store no longer has the changes after Version
	ReadOnce    bool      // a read is due although this host does not follow the store
	NextRead    time.Time
	FailedReads int  // in a row
	ReadFailed  bool // the last read was not answered, or refused

	// Changes that a peer has and this host lacks.
	GapEra      uint64 // of GapVersion
	GapVersion  uint64 // of the peer's copy; 0 if no change is known to be missing
	GapHost     HostID
	GapSince    time.Time
	RequestedAt time.Time // last request to a peer

	// EraConfirmed is set if the store itself has shown Era to this host. DoubtSince is since when a peer that reaches the
	// store has had a lower one; zero if none has.
	EraConfirmed bool
	DoubtSince   time.Time
}

// StoreVersion returns the version of the store up to which the copy has all changes.
func (t *FollowedTable) StoreVersion() StoreVersion {
	return StoreVersion{Era: t.Era, Version: t.Version}
}

// TableRow is a row of a table of the platform's store. Only its client decodes the value.
type TableRow struct {
	Key     string
	Version uint64
	Value   []byte
	Removed bool
}

// Source is a host of this data centre as a source of changes of the followed tables.
type Source struct {
	NoticeAt      time.Time // last message in which it said that it follows the store; zero if it does not
	ExpectedSince time.Time // since when this host expects it to follow the store; zero if it does not
	StoreLost     bool      // a read from the store failed or is overdue, and none has succeeded since
	StoreReached  bool      // its last read from the store succeeded
}

// FollowState is this host's part in following the store.
type FollowState struct {
	Follows       bool // this host reads changes from the store
	StoreLost     bool // the last read of the configuration or the backend servers failed, or one is overdue
	StoreReached  bool // a read since it follows the store succeeded, and StoreLost is not set
	Disconnected  bool // neither this host nor a source of it reaches the store
	SourceSilent  bool // a host that this one expects to follow the store has fallen silent
	NextCheck     time.Time
	NextNotice    time.Time
	NoticeDue     bool      // the state of this host as a source changed
	NoSourceSince time.Time // since when no source has sent a notice; zero while one does

	Era      uint64    // highest one of the store that this host knows; 0 if it knows none
	EraSince time.Time // when this host learned of Era
	Restored bool      // Era has risen since the start
}

// TableRead reads a table of the platform's store, or its changes.
type TableRead struct {
	Table  FollowedTableID
	Number uint64        // of the reads of the table
	Era    uint64        // of After
	After  uint64        // version after which changes are read; 0 reads the complete table
	Wait   time.Duration // longest wait for a change
	Limit  time.Duration // time after which the read has failed if it was not answered
}

// TableReadStatus is the result of a read of a table of the platform's store.
type TableReadStatus uint8

// The results of a read of a table of the platform's store.
const (
	TableReadOK TableReadStatus = iota
	TableReadFailed
	TableHistoryDropped // the store no longer has the changes after the version
)

// TableReadEnded reports the end of a TableRead.
type TableReadEnded struct {
	Read    TableRead
	Status  TableReadStatus
	Era     uint64 // of the store that answered; 0 if it did not tell
	Version uint64 // the rows include all changes up to it
	Rows    []TableRow
}

// TableChange gives changed rows of a followed table to the client that decodes them.
type TableChange struct {
	Table   FollowedTableID
	Era     uint64 // of the copy
	Full    bool   // Rows are the complete table
	Version uint64 // of the complete table; 0 for changes, whose rows have versions
	Rows    []TableRow
}

// TableUpdate tells a peer about the sender's copy of a followed table. Without rows it only lets the peer compare.
type TableUpdate struct {
	Table   FollowedTableID
	Era     uint64 // 0 if the sender does not know it, or runs an older program that does not send it
	Version uint64
	Digest  uint64
	Full    bool // Rows are the complete table
	Rows    []TableRow
}

// TableRequest asks a peer for the changes of a followed table after a version; 0 asks for the complete table.
type TableRequest struct {
	Table FollowedTableID
	Era   uint64 // of After, as in TableUpdate
	After uint64
}

// TableNotices returns the versions of this host's copies of the followed tables. A copy that may lack changes, or is
// of an older era than the store, is left out.
func (w *World) TableNotices() []TableUpdate {
	var notices []TableUpdate
	for id := ConfigurationTable; id <= HostsTable; id++ {
		if t := w.FollowedTables.Get(id); t != nil && t.Version > 0 && !t.Mixed && t.Era >= w.Follow.Era {
			notices = append(notices, TableUpdate{Table: id, Era: t.Era, Version: t.Version, Digest: t.Digest})
		}
	}
	return notices
}
