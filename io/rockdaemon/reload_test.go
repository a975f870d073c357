package rockdaemon

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/core/rocktick"
	"sassafrasrock/io/rockcontrol"
	"sassafrasrock/io/rocksettings"
)

const reloaded = `{"host": "entry-1", "dataCentre": "yoff", "region": "dakar", "callersAddress": "127.0.0.1:0",
	"operatorsAddress": "127.0.0.1:0", "peersAddress": "127.0.0.1:0", "platformUrl": "http://127.0.0.1:1",
	"bodyLimitBytes": 9, "limits": {"platformPushes": true, "drainNoticeMs": 1500, "leaseTtlMs": 60000}}`

// Guards against a changed settings file that ends the daemon, is taken by half, or is not mentioned in the log.
func TestReload(t *testing.T) {
	var lines bytes.Buffer
	w := rocktable.NewWorld(time.Now(), rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "yoff"}, 1)
	d := &Daemon{log: slog.New(slog.NewJSONHandler(&lines, nil)), control: rockcontrol.New(w)}
	settings, err := rocksettings.Decode[rocksettings.Daemon]([]byte(strings.Replace(reloaded, `"bodyLimitBytes": 9, "limits": {"platformPushes": true, "drainNoticeMs": 1500, "leaseTtlMs": 60000}`, `"limits": {"platformPushes": true}`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	r := reloader{daemon: d, current: settings, file: filepath.Join(t.TempDir(), "settings.json")}
	for _, c := range []struct{ content, want string }{
		{`{"host": 3}`, "settings not taken"},
		{reloaded, `"taken":["limits.drainNoticeMs"],"atNextStart":["limits.leaseTtlMs","bodyLimitBytes"]`},
	} {
		if err := os.WriteFile(r.file, []byte(c.content), 0o600); err != nil {
			t.Fatal(err)
		}
		lines.Reset()
		r.reload("signal")
		if !strings.Contains(lines.String(), c.want) {
			t.Errorf("log %s does not contain %s", &lines, c.want)
		}
	}
	if r.current.Limits.DrainNoticeMs != 1500 {
		t.Errorf("drainNoticeMs in force is %d, want 1500", r.current.Limits.DrainNoticeMs)
	}
}

// Guards against a lease or the source of the tables that changes under running work.
func TestChangedLimits(t *testing.T) {
	now := time.Now()
	w := rocktable.NewWorld(now, rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "yoff"}, 1)
	old := w.Limits
	changed := old
	changed.DrainNotice, changed.LeaseTTL, changed.OrderTimeout, changed.PlatformPushes = 7*time.Second, time.Hour, time.Hour, true
	w.Inbox.Limits = []rocktable.Limits{changed}
	rocktick.Run(now, w)
	old.DrainNotice = 7 * time.Second
	if w.Limits != old {
		t.Errorf("limits %+v, want %+v", w.Limits, old)
	}
}
