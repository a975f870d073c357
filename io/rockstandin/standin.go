package rockstandin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/core/rocktable"
	"sassafrasrock/io/rockmemory"
)

// ErrStopped is returned after the stand-in has been closed.
var ErrStopped = eris.New("the stand-in has stopped")

// Standin runs the simulated systems until Close.
type Standin struct {
	w           *World
	sockets     map[string]*serverSockets
	servers     map[string]*http.Server
	addresses   map[string]string
	lastSession atomic.Uint64
	memory      *rockmemory.Account // of bodies of requests

	wake   chan struct{}
	done   chan struct{}
	cancel context.CancelFunc
	group  sync.WaitGroup

	mu    sync.Mutex
	inbox Inbox
}

// ControlName is the name under which Address returns the control address.
const ControlName = "control"

// Start opens all ports and runs the simulated systems until ctx ends or Close is called. Its error is
// ErrSettings or a network error.
func Start(ctx context.Context, settings Settings) (*Standin, error) {
	w, err := NewWorld(time.Now(), settings)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &Standin{
		w:         w,
		sockets:   make(map[string]*serverSockets),
		servers:   make(map[string]*http.Server),
		addresses: make(map[string]string),
		wake:      make(chan struct{}, 1),
		done:      make(chan struct{}),
		memory:    rockmemory.New(maxHeldBytes),
		cancel:    cancel,
	}
	if err := s.openServers(settings); err != nil {
		cancel()
		s.closeServers()
		s.group.Wait()
		return nil, err
	}
	w.addServersToHostList()
	s.group.Go(func() { s.run(ctx) })
	// The first tick publishes the host list before a query can read it.
	s.signal()
	return s, nil
}

func (s *Standin) openServers(settings Settings) error {
	for _, row := range s.w.Servers.All() {
		if err := s.openServer(row.Name, row.Role, row.Address); err != nil {
			return err
		}
		row.Address = s.addresses[row.Name]
	}
	return s.openServer(ControlName, ControlName, settings.Control)
}

func (s *Standin) handlerFor(name, role string, sockets *serverSockets) http.Handler {
	switch role {
	case RoleModel:
		return withDelay(sockets, s.engineHandler(name, sockets))
	case RoleApplication:
		return withDelay(sockets, s.applicationHandler(name))
	case RolePlatform:
		return withDelay(sockets, s.platformHandler())
	default:
		return s.controlHandler()
	}
}

func (s *Standin) openServer(name, role, address string) error {
	if address == "" {
		address = "127.0.0.1:0"
	}
	sockets := newServerSockets()
	l, err := sockets.open(address)
	if err != nil {
		return fmt.Errorf("listen on the address of %s: %w", name, err)
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.sockets[name], s.addresses[name] = sockets, l.Addr().String()
	s.servers[name] = &http.Server{
		// No read timeout: it would end connections that a fault keeps silent.
		Handler:        s.handlerFor(name, role, sockets),
		Protocols:      protocols,
		HTTP2:          &http.HTTP2Config{MaxConcurrentStreams: 10000},
		MaxHeaderBytes: maxHeadBytes,
	}
	s.serve(name, l)
	return nil
}

func (s *Standin) serve(name string, l net.Listener) {
	server := s.servers[name]
	s.group.Go(func() { _ = server.Serve(l) })
}

// Close stops every server and waits for the control thread and the accept loops. Handlers end with
// their connections.
func (s *Standin) Close() {
	s.cancel()
	<-s.done
	s.group.Wait()
}

// Done is closed when the stand-in has stopped.
func (s *Standin) Done() <-chan struct{} { return s.done }

func (s *Standin) closeServers() {
	for name, server := range s.servers {
		s.sockets[name].release()
		_ = server.Close()
	}
}

// Address returns the address of an engine, an application server, PlatformName or ControlName, or ""
// for any other name.
func (s *Standin) Address(name string) string { return s.addresses[name] }

// PlatformURL returns the URL of the platform.
func (s *Standin) PlatformURL() string { return "http://" + s.Address(PlatformName) }

// post adds events to the inbox and wakes the control thread.
func (s *Standin) post(add func(in *Inbox)) {
	s.mu.Lock()
	add(&s.inbox)
	s.mu.Unlock()
	s.signal()
}

func (s *Standin) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run is the control thread: it runs a tick for new events and at each scheduled time.
func (s *Standin) run(ctx context.Context) {
	defer close(s.done)
	defer s.closeServers()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
		s.mu.Lock()
		s.w.Inbox, s.inbox = s.inbox, Inbox{}
		s.mu.Unlock()
		out, wake := Tick(time.Now(), s.w)
		s.apply(out)
		timer.Stop()
		if !wake.IsZero() {
			timer.Reset(time.Until(wake))
		}
	}
}

func (s *Standin) apply(out Outbox) {
	for _, action := range out.Sockets {
		sockets := s.sockets[action.Server]
		if action.Change != SocketOpen {
			sockets.change(action)
			continue
		}
		l, err := sockets.open(s.addresses[action.Server])
		if err != nil {
			// The kernel may not release the port at once. The port stays closed until a retry succeeds.
			s.retryOpen(action)
			continue
		}
		if l != nil {
			s.serve(action.Server, l)
		}
	}
}

// retryOpen opens the port again after a delay, unless the server is down by then.
func (s *Standin) retryOpen(action SocketAction) {
	const retryDelay = 50 * time.Millisecond
	time.AfterFunc(retryDelay, func() {
		s.post(func(in *Inbox) {
			in.Queries = append(in.Queries, func(_ time.Time, w *World) {
				if !w.Servers.Get(action.Server).Down {
					w.changeSockets(action.Server, SocketOpen, 0)
				}
			})
		})
	})
}

// postAndWait posts an event and waits for its reply. Its error is ErrStopped or that of the context.
func postAndWait[T any](ctx context.Context, s *Standin, add func(in *Inbox, reply func(T))) (T, error) {
	result := make(chan T, 1)
	s.post(func(in *Inbox) { add(in, func(v T) { result <- v }) })
	var zero T
	select {
	case v := <-result:
		return v, nil
	case <-ctx.Done():
		return zero, ctx.Err()
	case <-s.done:
		return zero, ErrStopped
	}
}

// query runs read on the control thread and returns its result.
func query[T any](ctx context.Context, s *Standin, read func(now time.Time, w *World) T) (T, error) {
	return postAndWait(ctx, s, func(in *Inbox, reply func(T)) {
		in.Queries = append(in.Queries, func(now time.Time, w *World) { reply(read(now, w)) })
	})
}

// Fault sets or lifts a fault and returns when the change is in effect. Its error is ErrFault or
// ErrStopped.
func (s *Standin) Fault(f Fault) error {
	result, err := postAndWait(context.Background(), s, func(in *Inbox, reply func(error)) {
		in.Faults = append(in.Faults, FaultEvent{Fault: f, Reply: reply})
	})
	if err != nil {
		return err
	}
	if result != nil {
		return result
	}
	// The actions of a tick are applied before the next tick, so they are in effect when a query in a
	// later tick returns.
	_, err = query(context.Background(), s, func(time.Time, *World) bool { return true })
	return err
}

// Counts returns the counters of executed work. They are empty after Close.
func (s *Standin) Counts() Counts {
	counts, _ := query(context.Background(), s, func(_ time.Time, w *World) Counts { return countsOf(w) })
	return counts
}

// SetHost adds a host to the platform's list or replaces it.
func (s *Standin) SetHost(host rocktable.ListedHost) error {
	return s.changeHost(HostEvent{Host: host})
}

// RemoveHost removes a host from the platform's list.
func (s *Standin) RemoveHost(name string) error {
	return s.changeHost(HostEvent{Host: rocktable.ListedHost{Name: name}, Remove: true})
}

func (s *Standin) changeHost(event HostEvent) error {
	_, err := postAndWait(context.Background(), s, func(in *Inbox, reply func(bool)) {
		event.Reply = func() { reply(true) }
		in.Hosts = append(in.Hosts, event)
	})
	return err
}
