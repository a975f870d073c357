package rockdaemon

import (
	"context"
	"sync"

	"sassafrasrock/core/rocktable"
)

// TableDecoder decodes a change of a followed table into the event that reports it, or nil if there is none.
type TableDecoder func(c rocktable.TableChange) func(in *rocktable.Inbox)

// tableChanges is a queue of changes to decode. The control thread adds to it without blocking, because a large
// configuration takes many milliseconds to decode.
type tableChanges struct {
	mu      sync.Mutex
	changes []rocktable.TableChange
	added   chan struct{}
}

func newTableChanges() *tableChanges { return &tableChanges{added: make(chan struct{}, 1)} }

func (q *tableChanges) add(changes []rocktable.TableChange) {
	if len(changes) == 0 {
		return
	}
	q.mu.Lock()
	q.changes = append(q.changes, changes...)
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

func (q *tableChanges) take() []rocktable.TableChange {
	q.mu.Lock()
	defer q.mu.Unlock()
	changes := q.changes
	q.changes = nil
	return changes
}

// decodeTableChanges decodes the queued changes in their order until the context ends.
func (d *Daemon) decodeTableChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.tableChanges.added:
		}
		for _, c := range d.tableChanges.take() {
			d.guard().Do(func() {
				if event := d.tableDecoder(c); event != nil {
					d.control.Post(event)
				}
			}, "table", c.Table.String())
		}
	}
}

// readTable reads a followed table and posts the result.
func (d *Daemon) readTable(r rocktable.TableRead) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Limit)
	defer cancel()
	end := rocktable.TableReadEnded{Read: r, Status: rocktable.TableReadFailed}
	d.guard().Do(func() { end = d.platform.ReadTable(ctx, r) }, "table", r.Table.String())
	d.control.Post(func(in *rocktable.Inbox) { in.TableReads = append(in.TableReads, end) })
}
