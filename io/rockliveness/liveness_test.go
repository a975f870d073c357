package rockliveness

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"sassafrasrock/core/rockstream"
	"sassafrasrock/io/rockstandin"
)

// Guards against a process that counts as gone because it is silent or ends connections, and against one that is gone and
// counts as unknown.
func TestOnlyARefusedConnectionShowsThatAProcessIsGone(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	for name, c := range map[string]struct {
		errs  []error
		gone  bool
		known bool
	}{
		"answers":                {[]error{nil}, false, true},
		"refuses":                {[]error{refused}, true, true},
		"ends, then refuses":     {[]error{io.EOF, refused}, true, true},
		"silent, then answers":   {[]error{context.DeadlineExceeded, nil}, false, true},
		"silent":                 {[]error{context.DeadlineExceeded, context.DeadlineExceeded, context.DeadlineExceeded}, false, false},
		"resets each connection": {[]error{syscall.ECONNRESET, syscall.ECONNRESET, syscall.ECONNRESET}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				asked := 0
				got, err := Find(t.Context(), func(context.Context) (rockstream.Process, error) {
					asked++
					return rockstream.Process{}, c.errs[asked-1]
				})
				if got.Gone != c.gone || (err == nil) != c.known || asked != len(c.errs) {
					t.Errorf("got %+v and error %v after %d questions, want gone %v, known %v after %d", got, err, asked, c.gone, c.known, len(c.errs))
				}
			})
		})
	}
}

// Guards against a question that goes on after its request has ended.
func TestFindEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Millisecond, cancel)
		_, err := Find(ctx, func(ctx context.Context) (rockstream.Process, error) {
			<-ctx.Done()
			return rockstream.Process{}, ctx.Err()
		})
		if !errors.Is(err, context.Canceled) {
			t.Errorf("got error %v, want that of the context", err)
		}
	})
}

// Guards against a server that accepts a connection and ends it at once, and whose process counts as running.
func TestEndedConnectionIsNoSignOfAProcess(t *testing.T) {
	for name, keep := range map[string]bool{"keeps connections": true, "ends connections": false} {
		t.Run(name, func(t *testing.T) {
			l, err := rockstandin.ServeConns(func(net.Conn) {
				if keep {
					<-t.Context().Done()
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			if _, err := Connect(t.Context(), l.Addr().String()); keep {
				if err != nil {
					t.Errorf("got error %v for a server that keeps its connections", err)
				}
				return
			}
			for range 100 { // a server under load may end the connection later than it is watched
				if _, err := Connect(t.Context(), l.Addr().String()); err != nil {
					return
				}
			}
			t.Error("no connection that ended was found")
		})
	}
}
