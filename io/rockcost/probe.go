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
	// tcpOverhead is the length of the IPv4 and TCP headers of a segment with time stamps.
	tcpOverhead = 52
	// probeSegments is the number of segments of one probe on an open connection: the request, the answer and the acknowledgement of the answer.
	probeSegments = 3
)

// ProbeCost is what one probe of a backend server takes.
type ProbeCost struct {
	Processor time.Duration // router and stand-in together
	Stream    float64       // bytes of both directions within the connection
	Wire      float64       // with the headers of its segments, computed
}

// MeasureProbe probes an engine of the stand-in, as a host does every few hundred milliseconds.
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
	// A relay counts the bytes in a run of its own, because it takes processor time too.
	relay, err := openRelay(address)
	if err != nil {
		return ProbeCost{}, err
	}
	defer relay.close()
	if _, err := probe(relay.listener.Addr().String(), n); err != nil {
		return ProbeCost{}, err
	}
	stream := float64(relay.bytes.Load()) / float64(n+1)
	return ProbeCost{Processor: cost, Stream: stream, Wire: stream + probeSegments*tcpOverhead}, nil
}

func probe(address string, n int) (time.Duration, error) {
	engine := rockengine.New()
	defer engine.Close()
	ctx, cancel := context.WithTimeout(context.Background(), loopbackLimit)
	defer cancel()
	if _, _, err := engine.Status(ctx, address); err != nil {
		return 0, eris.Wrap(err, "probing the stand-in")
	}
	start := readUsage()
	for range n {
		if _, _, err := engine.Status(ctx, address); err != nil {
			return 0, eris.Wrap(err, "probing the stand-in")
		}
		time.Sleep(sendEvery)
	}
	return start.since(n).Processor, nil
}

// relay passes TCP connections on and counts their bytes.
type relay struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
	group    sync.WaitGroup
}

func openRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "opening a relay")
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
		r.group.Go(func() { r.pass(in, out) })
		r.group.Go(func() { r.pass(out, in) })
	}
}

// pass copies one direction and ends both when it ends.
func (r *relay) pass(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	_, _ = io.Copy(to, io.TeeReader(from, (*byteCount)(&r.bytes)))
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.group.Wait()
}

// byteCount counts what is written to it.
type byteCount atomic.Int64

// Write counts the bytes.
func (c *byteCount) Write(b []byte) (int, error) {
	(*atomic.Int64)(c).Add(int64(len(b)))
	return len(b), nil
}
