package rockcost

import (
	"encoding/json"
	"sync"
	"time"

	"sassafrasrock/core/rockconfig"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockplatform"
)

// The limits of the platform's table service for all hosts together.
const (
	ReadLimit  = 2000 // per second
	WriteLimit = 400  // per second; the platform allows several hundred
)

// PlatformUse holds the operations on the platform and the probes of one host. CountPlatform returns
// rates per second.
type PlatformUse struct {
	ListReads   float64
	ConfigReads float64
	LeaseReads  float64
	LeaseWrites float64
	Probes      float64
}

// CountPlatform runs a host for a number of virtual seconds and returns the mean rates per second of the
// operations in the outboxes of its ticks.
func CountPlatform(scale Scale, seed uint64, seconds int) PlatformUse {
	f := NewFixture(scale, seed)
	var use PlatformUse
	const step = 50 * time.Millisecond
	for tick := range seconds * int(time.Second/step) {
		if tick%int(time.Second/step) == 0 {
			f.AddReports()
		}
		f.Now = f.Now.Add(step)
		out := f.Tick().Outbox
		use.ListReads += float64(out.ListReads)
		use.ConfigReads += float64(len(out.ConfigOps))
		use.Probes += float64(len(out.Probes))
		f.answerActions(&use, out)
	}
	n := float64(seconds)
	return PlatformUse{use.ListReads / n, use.ConfigReads / n, use.LeaseReads / n, use.LeaseWrites / n, use.Probes / n}
}

// answerActions adds the answers of the platform and of backend servers to a tick's actions to the inbox.
// It counts the lease operations. Another host holds the lease.
func (f *Fixture) answerActions(use *PlatformUse, out rocktable.Outbox) {
	in := &f.World.Inbox
	for range out.ListReads {
		in.HostLists = append(in.HostLists, rocktable.HostList{OK: true, Entries: f.ListedHosts})
	}
	for _, op := range out.ConfigOps {
		row := f.World.Config
		in.ConfigResults = append(in.ConfigResults, rocktable.TableResult[rocktable.ConfigRow]{
			Op: op.Op, Key: rockconfig.RowKey, Found: true, Version: f.World.ConfigVersion, Row: row,
		})
	}
	for _, op := range out.LeaseOps {
		if op.Write {
			use.LeaseWrites++
		} else {
			use.LeaseReads++
		}
		renewal := uint64(f.Now.Sub(startedAt) / time.Second)
		in.LeaseResults = append(in.LeaseResults, rocktable.TableResult[rocktable.LeaseRow]{
			Op: op.Op, Key: op.Key, Write: op.Write, Found: true, Version: renewal + 1,
			Row: rocktable.LeaseRow{Holder: "other#1", Fencing: 12, Renewal: renewal, TTLMs: 15000},
		})
	}
	for _, p := range out.Probes {
		i := int(p.Server) - 1
		in.Probes = append(in.Probes, rocktable.ProbeResult{Server: p.Server, OK: true, Status: f.serverStatus(i), RoundTrip: time.Millisecond})
	}
}

// ListReadsPerSecond returns the rate at which one host reads the platform's host list.
func ListReadsPerSecond(s Scale) float64 { return platformUse(s).ListReads }

// ConfigReadsPerSecond returns the rate at which one host reads the configuration row.
func ConfigReadsPerSecond(s Scale) float64 { return platformUse(s).ConfigReads }

// platformUseSeconds is the virtual time over which platformUse counts. It is long enough for several
// reads of the row that is read least often.
const platformUseSeconds = 600

// cachedUse holds the result of platformUse for each scale, because several records need it. The mutex
// allows experiments to run in parallel.
var (
	cachedUseMu sync.Mutex
	cachedUse   = map[Scale]PlatformUse{}
)

// platformUse returns the use of the platform at a scale.
func platformUse(s Scale) PlatformUse {
	cachedUseMu.Lock()
	defer cachedUseMu.Unlock()
	if use, ok := cachedUse[s]; ok {
		return use
	}
	cachedUse[s] = CountPlatform(s, 1, platformUseSeconds)
	return cachedUse[s]
}

// configRowBody returns the answer of the table service to a read of the configuration row.
func configRowBody(f *Fixture) []byte {
	value := mustJSON(f.World.Config)
	return mustJSON(rockplatform.Row{Value: value, Version: f.World.ConfigVersion})
}

// hostListBody returns the platform's answer to a read of the host list.
func hostListBody(f *Fixture) []byte { return mustJSON(rockplatform.HostList{Hosts: f.ListedHosts}) }

func mustJSON(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // cannot happen: the value can always be encoded
	}
	return body
}
