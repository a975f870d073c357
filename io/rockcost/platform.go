package rockcost

import (
	"encoding/json"
	"sync"
	"time"

	"sassafrasrock/core/rockconfig"
	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockplatform"
)

// The limits of the platform's table service over all hosts.
const (
	ReadLimit  = 2000 // per second
	WriteLimit = 400  // per second, of several hundred
)

// PlatformUse counts what one host asks of the platform each second.
type PlatformUse struct {
	ListReads   float64
	ConfigReads float64
	LeaseReads  float64
	LeaseWrites float64
	Probes      float64
}

// CountPlatform runs a host for some virtual seconds and counts the operations that its ticks ask for.
func CountPlatform(scale Scale, seed uint64, seconds int) PlatformUse {
	f := NewFleet(scale, seed)
	var use PlatformUse
	const step = 50 * time.Millisecond
	for tick := range seconds * int(time.Second/step) {
		if tick%int(time.Second/step) == 0 {
			f.Hear()
		}
		f.Now = f.Now.Add(step)
		out := f.Tick().Outbox
		use.ListReads += float64(out.ListReads)
		use.ConfigReads += float64(len(out.ConfigOps))
		use.Probes += float64(len(out.Probes))
		f.answer(&use, out)
	}
	n := float64(seconds)
	return PlatformUse{use.ListReads / n, use.ConfigReads / n, use.LeaseReads / n, use.LeaseWrites / n, use.Probes / n}
}

// answer gives the answers of the platform and the backend servers to a tick's actions; another host holds the lease.
func (f *Fleet) answer(use *PlatformUse, out rocktable.Outbox) {
	in := &f.World.Inbox
	for range out.ListReads {
		in.HostLists = append(in.HostLists, rocktable.HostList{OK: true, Entries: f.Entries})
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
		renewal := uint64(f.Now.Sub(started) / time.Second)
		in.LeaseResults = append(in.LeaseResults, rocktable.TableResult[rocktable.LeaseRow]{
			Op: op.Op, Key: op.Key, Write: op.Write, Found: true, Version: renewal + 1,
			Row: rocktable.LeaseRow{Holder: "other#1", Fencing: 12, Renewal: renewal, TTLMs: 15000},
		})
	}
	for _, p := range out.Probes {
		i := int(p.Server) - 1
		in.Probes = append(in.Probes, rocktable.ProbeResult{Server: p.Server, OK: true, Status: f.status(i), RoundTrip: time.Millisecond})
	}
}

// ListReadsPerSecond returns how often one host reads the platform's list, as CountPlatform counts it.
func ListReadsPerSecond(s Scale) float64 { return countedUse(s).ListReads }

// ConfigReadsPerSecond returns how often one host reads the configuration row, as CountPlatform counts it.
func ConfigReadsPerSecond(s Scale) float64 { return countedUse(s).ConfigReads }

// countedSeconds holds several reads of the row that is read least often.
const countedSeconds = 600

// counted keeps the counts of each scale, because several records need them; experiments may run side by side.
var (
	countedMu sync.Mutex
	counted   = map[Scale]PlatformUse{}
)

func countedUse(s Scale) PlatformUse {
	countedMu.Lock()
	defer countedMu.Unlock()
	if use, ok := counted[s]; ok {
		return use
	}
	counted[s] = CountPlatform(s, 1, countedSeconds)
	return counted[s]
}

// configBody returns the answer of the table service to a read of the configuration row.
func configBody(f *Fleet) []byte {
	value := mustJSON(f.World.Config)
	return mustJSON(rockplatform.Row{Value: value, Version: f.World.ConfigVersion})
}

// listBody returns the platform's answer to a read of the host list.
func listBody(f *Fleet) []byte { return mustJSON(rockplatform.HostList{Hosts: f.Entries}) }

func mustJSON(v any) []byte {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types of this package always encode
	}
	return body
}
