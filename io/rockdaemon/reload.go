package rockdaemon

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockmemory"
	"sassafrasrock/io/rocksettings"
)

// settingsCheckInterval is the time between checks of the settings file, which may change without a
// signal.
const settingsCheckInterval = 5 * time.Second

// restartOnlyLimits are the limits whose changes take effect at the next start. Hosts that apply
// different lease times to one lease, or an order that outlasts its lease, would allow two hosts to
// act as the lease holder at once.
var restartOnlyLimits = []string{"leaseTtlMs", "orderTimeoutMs", "platformPushes"}

// WithSettingsFile makes the daemon reload its settings file on SIGHUP, and within
// settingsCheckInterval after the file has changed. Limits take effect at once, except for
// restartOnlyLimits. All other fields take effect at the next start.
func WithSettingsFile(file string) Option {
	hangups := make(chan os.Signal, 1)
	// Without a handler the signal ends the process, also while it stops. The handler therefore stays.
	signal.Notify(hangups, syscall.SIGHUP)
	return WithTask(func(ctx context.Context, d *Daemon) {
		r := reloader{daemon: d, file: file, current: d.settings}
		r.modifiedAt = r.fileModifiedAt()
		ticks := time.NewTicker(settingsCheckInterval)
		defer ticks.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				r.reload("signal")
			case <-ticks.C:
				if at := r.fileModifiedAt(); !at.Equal(r.modifiedAt) {
					r.reload("file")
				}
			}
		}
	})
}

// reloader compares the settings file with the active settings.
type reloader struct {
	daemon     *Daemon
	file       string
	current    rocksettings.Daemon
	modifiedAt time.Time // modification time of the file at the last read; zero if that failed
}

func (r *reloader) fileModifiedAt() time.Time {
	info, err := os.Stat(r.file)
	if err != nil {
		return time.Time{} // reload logs the error
	}
	return info.ModTime()
}

// reload reads the settings file and applies its changes. A file that cannot be read or is invalid
// changes nothing.
func (r *reloader) reload(cause string) {
	r.modifiedAt = r.fileModifiedAt()
	log := r.daemon.log.With("cause", cause, "file", r.file)
	data, err := os.ReadFile(r.file)
	if err != nil {
		log.Error("settings not taken", "error", err.Error())
		return
	}
	next, err := rocksettings.Decode[rocksettings.Daemon](data)
	if err != nil {
		log.Error("settings not taken", "error", err.Error())
		return
	}
	applied, atNextStart, err := diffSettings(r.current, next)
	if err != nil {
		log.Error("settings not taken", "error", err.Error())
		return
	}
	if len(applied) > 0 {
		limits := tableLimits(next)
		r.daemon.control.Post(func(in *rocktable.Inbox) { in.Limits = append(in.Limits, limits) })
		r.current.Limits = next.Limits
	}
	if slices.Contains(applied, "limits.memoryMb") {
		r.daemon.memory.SetLimit(rockmemory.AccountLimit(processBytes(next)))
		r.daemon.controlMemory.SetLimit(rockmemory.ControlLimit(processBytes(next)))
		rockmemory.LimitHeap(processBytes(next))
	}
	log.Info("settings reloaded", "taken", applied, "atNextStart", atNextStart)
}

// diffSettings returns the names of the fields that differ: those applied at once, which are
// limits, and those that take effect at the next start.
func diffSettings(old, next rocksettings.Daemon) (applied, atNextStart []string, err error) {
	limits, err := changedFields(old.Limits, next.Limits)
	if err != nil {
		return nil, nil, err
	}
	for _, name := range limits {
		if slices.Contains(restartOnlyLimits, name) {
			atNextStart = append(atNextStart, "limits."+name)
		} else {
			applied = append(applied, "limits."+name)
		}
	}
	old.Limits = next.Limits
	others, err := changedFields(old, next)
	return applied, append(atNextStart, others...), err
}

// changedFields returns the sorted JSON names of the fields whose encoding differs between two
// structs.
func changedFields[T any](old, next T) ([]string, error) {
	fields := make([]map[string]json.RawMessage, 2)
	for i, v := range []T{old, next} {
		data, err := json.Marshal(v)
		if err != nil {
			return nil, eris.Wrap(err, "encoding settings")
		}
		if err := json.Unmarshal(data, &fields[i]); err != nil {
			return nil, eris.Wrap(err, "decoding settings")
		}
	}
	var names []string
	for name, value := range fields[0] {
		if string(value) != string(fields[1][name]) {
			names = append(names, name)
		}
	}
	for name := range fields[1] {
		if _, ok := fields[0][name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, nil
}
