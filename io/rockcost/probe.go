package rockcost

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"sassafrasrock/io/rockengine"
	"sassafrasrock/io/rockstandin"
)

const (
	// tcpOverhead is the length in bytes of the IPv4 and TCP headers of a segment with timestamps.
	tcpOverhead = 52
	// probeSegments is the number of TCP segments of one probe on an open connection: the request, the
	// answer and the acknowledgement of the answer.
	probeSegments = 3
)

// ProbeCost is the mean cost of one probe of a backend server.
type ProbeCost struct {
	CPUTime     time.Duration // host and stand-in together
	StreamBytes float64       // payload of the connection in both directions
	WireBytes   float64       // StreamBytes plus the computed headers of the segments
}

// MeasureProbe probes an engine of the stand-in n times over one open connection, as a host does
// with each engine. The pause between two probes is sendInterval.
func MeasureProbe(seed uint64, n int) (ProbeCost, error) {
	standin, err := rockstandin.Start(context.Background(), trafficSettings(seed, 1))
	if err != nil {
		return ProbeCost{}, err
	}
	defer standin.Close()
	address := standin.Address(stageName(0))
	cost, err := probe(address, n)
	if err != nil {
		return ProbeCost{}, err
	}
	// The relay that counts the bytes uses CPU time too, so it has a run of its own.
	relay, err := openRelay(address)
	if err != nil {
		return ProbeCost{}, err
	}
	defer relay.close()
	if _, err := probe(relay.listener.Addr().String(), n); err != nil {
		return ProbeCost{}, err
	}
	stream := float64(relay.bytes.Load()) / float64(n+1)
	return ProbeCost{CPUTime: cost, StreamBytes: stream, WireBytes: stream + probeSegments*tcpOverhead}, nil
}

// probe sends n probes to an engine and returns the mean CPU time of one.
func probe(address string, n int) (time.Duration, error) {
	engine := rockengine.New()
	defer engine.Close()
	ctx, cancel := context.WithTimeout(context.Background(), loopbackTimeout)
	defer cancel()
	if _, _, err := engine.Status(ctx, address); err != nil {
		return 0, eris.Wrap(err, "probe the stand-in")
	}
	start := readUsage()
	for range n {
		if _, _, err := engine.Status(ctx, address); err != nil {
			return 0, eris.Wrap(err, "probe the stand-in")
		}
		time.Sleep(sendInterval)
	}
	return start.since(n).CPUTime, nil
}

// relay forwards TCP connections to a target and counts their bytes.
type relay struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
	group    sync.WaitGroup
}

func openRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen for relayed connections")
	}
	r := &relay{listener: l, target: target}
	r.group.Go(r.serve)
	return r, nil
}

func (r *relay) serve() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.group.Go(func() { r.copyOneWay(in, out) })
		r.group.Go(func() { r.copyOneWay(out, in) })
	}
}

// copyOneWay copies one direction of a connection. At its end it closes both connections.
func (r *relay) copyOneWay(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	_, _ = io.Copy(to, io.TeeReader(from, (*byteCount)(&r.bytes)))
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.group.Wait()
}

// byteCount counts the bytes that are written to it.
type byteCount atomic.Int64

// Write adds the length of b.
func (c *byteCount) Write(b []byte) (int, error) {
	(*atomic.Int64)(c).Add(int64(len(b)))
	return len(b), nil
}
