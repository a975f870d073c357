package rockfollow

import (
	"slices"
	"time"

	"sassafrasrock/core/rocktable"
)

const (
	// checkEvery is the time between two choices of the followers, and between two looks for changes that are missing.
	checkEvery = 250 * time.Millisecond
	// minReadPause is the pause between two reads of a table. It bounds the calls to a store that answers at once
	// without a change.
	minReadPause = 50 * time.Millisecond
	// firstRetryDelay and maxRetryDelay limit the exponential backoff after a failed read. The longest pause is half of
	// maxRetryDelay more. With a read that is not answered and one of the complete table it must stay below the 3 s after
	// which a host must have all changes again.
	firstRetryDelay = 200 * time.Millisecond
	maxRetryDelay   = 700 * time.Millisecond
	// changeWait is the longest wait of a read for a change. A host must keep the limits of a configuration again 3 s
	// after its connections have gone silent, and notices that when the read has failed.
	changeWait = 1200 * time.Millisecond
	// answerMargin is the time that the answer to a read may take beyond its wait.
	answerMargin = 800 * time.Millisecond
	// overdueMargin is the time beyond its wait after which a read is overdue. The hosts that have this one as their source
	// must learn it, and read the store, within the 2 s after which a change must be in force on them.
	overdueMargin = 300 * time.Millisecond
	// minReadLimit and fullReadLimit limit a read of changes, and one of the complete table.
	minReadLimit  = time.Second
	fullReadLimit = 2 * time.Second
	// fullReadPause is the time after a read of the complete table in which the next one is delayed. The store may drop
	// its history again and again.
	fullReadPause = 2 * time.Second
)

// followed describes how a table is followed.
type followed struct {
	id rocktable.FollowedTableID
	// wait is the longest wait of a read for a change.
	wait time.Duration
	// interval is the pause after a read that returned changes. It collects several changes in one read: many backend
	// servers or hosts may register at once.
	interval time.Duration
}

// followedTables lists the followed tables. The table of hosts changes only when a host starts, so that it may wait
// longer; departures of backend servers and configurations must be known within seconds.
var followedTables = []followed{
	{id: rocktable.ConfigurationTable, wait: changeWait},
	{id: rocktable.BackendServersTable, wait: changeWait, interval: 400 * time.Millisecond},
	{id: rocktable.HostsTable, wait: 10 * time.Second, interval: 500 * time.Millisecond},
}

// urgentTables lists the tables whose changes must be known within seconds. Their reads show whether this host reaches
// the store; those of the table of hosts wait for longer.
var urgentTables = []rocktable.FollowedTableID{rocktable.ConfigurationTable, rocktable.BackendServersTable}

// System keeps the copies of the platform's tables.
var System = rocktable.System{
	Name:        "rockfollow",
	Description: "Chooses the hosts that follow the platform's store, and spreads its changes among hosts.",
	Run:         run,
}

func run(now time.Time, w *rocktable.World) {
	if !w.Limits.PlatformPushes {
		return
	}
	for _, f := range followedTables {
		w.FollowedTables.GetOrPut(f.id).ID = f.id
	}
	firstChange := len(w.Outbox.TableChanges)
	for _, r := range w.Inbox.TableReads {
		applyRead(now, w, r)
	}
	for _, m := range w.Inbox.Peers {
		applyMessage(now, w, m)
	}
	forgetRestarted(w, w.Outbox.TableChanges[firstChange:])
	checkOverdue(now, w)
	if !now.Before(w.Follow.NextCheck) {
		w.Follow.NextCheck = now.Add(checkEvery)
		chooseFollowers(now, w)
		requestMissing(now, w)
		reportUnconfirmed(now, w)
	}
	w.WakeAt(w.Follow.NextCheck)
	startReads(now, w)
	recordConnection(now, w)
	sendChanges(now, w, w.Outbox.TableChanges[firstChange:])
	sendNotices(now, w)
}

// startReads starts the reads from the store that are due.
func startReads(now time.Time, w *rocktable.World) {
	for _, f := range followedTables {
		t := w.FollowedTables.Get(f.id)
		if t.Reading || !w.Follow.Follows && !t.ReadOnce && t.Version > 0 {
			continue
		}
		if now.Before(t.NextRead) {
			w.WakeAt(t.NextRead)
			continue
		}
		read := newRead(w, t, f.wait)
		t.ReadNumber++
		read.Number = t.ReadNumber
		t.Reading, t.ReadOnce, t.ReadSince, t.WaitEnd = true, false, now, time.Time{}
		if read.After > 0 {
			t.WaitEnd = now.Add(read.Wait)
		}
		w.Outbox.TableReads = append(w.Outbox.TableReads, read)
	}
}

// newRead returns the next read of a table.
func newRead(w *rocktable.World, t *rocktable.FollowedTable, wait time.Duration) rocktable.TableRead {
	read := rocktable.TableRead{Table: t.ID, Era: t.Era, After: t.Version, Wait: wait}
	if t.ReadAll || t.Era < w.Follow.Era {
		read.After = 0
	}
	if st := w.Follow; st.Follows && !st.StoreReached && (!st.StoreLost || t.ReadFailed) {
		read.Wait = 0 // the answer shows at once whether this host reaches the store
	}
	read.Limit = max(minReadLimit, read.Wait+answerMargin)
	if read.After == 0 {
		read.Limit = fullReadLimit
	}
	return read
}

// applyRead applies the result of a read from the store and sets the time of the next one.
func applyRead(now time.Time, w *rocktable.World, r rocktable.TableReadEnded) {
	t := w.FollowedTables.Get(r.Read.Table)
	if t == nil || !t.Reading || r.Read.Number != t.ReadNumber {
		return
	}
	t.Reading = false
	isCurrent := r.Status == rocktable.TableReadFailed || applyEra(now, w, t, &r)
	switch r.Status {
	case rocktable.TableReadOK:
		t.FailedReads, t.NextRead = 0, now.Add(minReadPause)
		if isCurrent {
			applyRows(now, w, t, r)
		}
	case rocktable.TableHistoryDropped:
		if !isCurrent {
			break
		}
		t.ReadAll, t.NextRead = true, now
		if t.Era == w.Follow.Era && now.Sub(t.FullReadAt) < fullReadPause {
			t.NextRead = now.Add(retryDelay(w, t))
		}
	case rocktable.TableReadFailed:
		t.NextRead = now.Add(retryDelay(w, t))
	}
	t.ReadFailed = r.Status == rocktable.TableReadFailed
	if slices.Contains(urgentTables, t.ID) {
		setStoreState(w, hasLostStore(now, w))
	}
}

// applyRows applies the rows of an answer from the store, which is not late. Changes that follow on another era than that
// of the copy are of no use: the complete table is read instead.
func applyRows(now time.Time, w *rocktable.World, t *rocktable.FollowedTable, r rocktable.TableReadEnded) {
	isFull := r.Read.After == 0
	if !isFull && (r.Era != t.Era || r.Read.Era != t.Era) {
		return
	}
	t.ConfirmedAt = now
	if len(r.Rows) > 0 {
		t.NextRead = now.Add(max(minReadPause, intervalOf(t.ID)))
	}
	switch {
	case !isFull:
		mergeRows(w, t, r.Rows)
		advance(now, t, r.Version)
	case r.Era != t.Era:
		t.ReadAll, t.FullReadAt = false, now
		replaceEra(now, w, t, rocktable.StoreVersion{Era: r.Era, Version: r.Version}, r.Rows)
	default:
		t.ReadAll, t.FullReadAt = false, now
		replaceRows(now, w, t, r.Version, r.Rows)
	}
	t.EraConfirmed = true
	if t.GapEra > t.Era && isFull && !t.ReadSince.Before(t.GapSince) {
		clearGap(t) // the store has not reached that era
	}
}

func intervalOf(id rocktable.FollowedTableID) time.Duration {
	for _, f := range followedTables {
		if f.id == id {
			return f.interval
		}
	}
	return 0
}

// retryDelay returns the pause after a failed read, with a random part that spreads the reads of hosts that failed
// together.
func retryDelay(w *rocktable.World, t *rocktable.FollowedTable) time.Duration {
	const maxDoublings = 4
	delay := min(maxRetryDelay, firstRetryDelay<<min(t.FailedReads, maxDoublings))
	t.FailedReads++
	return delay/2 + time.Duration(w.Rand.Int64N(int64(delay)))
}
