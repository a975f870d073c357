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

const reloadedSettings = `{"host": "entry-1", "dataCentre": "yoff", "region": "dakar", "callersAddress": "127.0.0.1:0",
	"operatorsAddress": "127.0.0.1:0", "peersAddress": "127.0.0.1:0", "platformUrl": "http://127.0.0.1:1",
	"bodyLimitBytes": 9, "limits": {"platformPushes": true, "drainNoticeMs": 1500, "leaseTtlMs": 60000}}`

// Guards against a changed settings file that stops the daemon, is applied only in part, or is not
// logged.
func TestReload(t *testing.T) {
	var logged bytes.Buffer
	w := rocktable.NewWorld(time.Now(), rocktable.Host{Name: "entry-1"}, rocktable.DataCentre{Name: "yoff"}, 1)
	d := &Daemon{log: slog.New(slog.NewJSONHandler(&logged, nil)), control: rockcontrol.New(w)}
	settings, err := rocksettings.Decode[rocksettings.Daemon]([]byte(strings.Replace(reloadedSettings, `"bodyLimitBytes": 9, "limits": {"platformPushes": true, "drainNoticeMs": 1500, "leaseTtlMs": 60000}`, `"limits": {"platformPushes": true}`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	r := reloader{daemon: d, current: settings, file: filepath.Join(t.TempDir(), "settings.json")}
	for _, c := range []struct{ content, want string }{
		{`{"host": 3}`, "settings not taken"},
		{reloadedSettings, `"taken":["limits.drainNoticeMs"],"atNextStart":["limits.leaseTtlMs","bodyLimitBytes"]`},
	} {
		if err := os.WriteFile(r.file, []byte(c.content), 0o600); err != nil {
			t.Fatal(err)
		}
		logged.Reset()
		r.reload("signal")
		if !strings.Contains(logged.String(), c.want) {
			t.Errorf("got log %s, want it to contain %s", &logged, c.want)
		}
	}
	if r.current.Limits.DrainNoticeMs != 1500 {
		t.Errorf("active drainNoticeMs is %v, want 1500", r.current.Limits.DrainNoticeMs)
	}
}

// Guards against a reload that changes the lease time, the order timeout or the use of platform
// pushes of a running daemon.
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
		t.Errorf("got limits %+v, want %+v", w.Limits, old)
	}
}
