package rocksettings

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"sassafrasrock/core/rocktable"
)

// DefaultBodyLimit is the longest body of a caller's request, in bytes, if the settings name none.
const DefaultBodyLimit = 4 << 20

// Daemon is the settings of the daemon.
type Daemon struct {
	Host                string    `json:"host" validate:"required,max=64"`
	DataCentre          string    `json:"dataCentre" validate:"required,max=64"`
	Region              string    `json:"region" validate:"required,max=64"`
	CallersAddress      string    `json:"callersAddress" validate:"required,listen"`
	OperatorsAddress    string    `json:"operatorsAddress" validate:"required,listen"`
	PeersAddress        string    `json:"peersAddress" validate:"required,listen"`                       // UDP
	PeersAdvertised     string    `json:"peersAdvertisedAddress,omitempty" validate:"omitempty,address"` // told to other hosts; empty means peersAddress
	PlatformURL         string    `json:"platformUrl" validate:"required,http_url"`
	PeerTLS             *TLSFiles `json:"peerTls,omitempty"`                                  // nil where the platform pushes: the daemon makes a key at its start
	ReadyAddress        string    `json:"readyAddress,omitempty" validate:"omitempty,listen"` // where sassafrasrock-entry tells a load balancer whether it is ready; sassafrasrockd does so on callersAddress
	MetricsAddress      string    `json:"metricsAddress,omitempty" validate:"omitempty,listen"`
	OperatorTLS         *TLSFiles `json:"operatorTls,omitempty"`                                                 // nil means plain HTTP
	OperatorTokenSHA256 string    `json:"operatorTokenSha256,omitempty" validate:"omitempty,len=64,hexadecimal"` // empty means no token
	BodyLimit           int64     `json:"bodyLimitBytes,omitempty" validate:"min=0,max=1073741824"`              // 0 means DefaultBodyLimit
	SeedPeers           []string  `json:"seedPeers,omitempty" validate:"max=64,dive,address"`
	LogLevel            string    `json:"logLevel,omitempty" validate:"omitempty,oneof=debug info warn error"` // empty means info
	Limits              Limits    `json:"limits,omitzero"`
}

// TLSFiles names PEM files: the own certificate, its key, and the trust root for the other side.
type TLSFiles struct {
	CertFile string `json:"certFile" validate:"required"`
	KeyFile  string `json:"keyFile" validate:"required"`
	CAFile   string `json:"caFile" validate:"required"`
}

// Limits is the part of the settings that decisions depend on; 0 means the default of rocktable.DefaultLimits.
type Limits struct {
	MaxRequests     int `json:"maxRequests,omitempty" validate:"min=0,max=1000000"`
	HostListEveryMs int `json:"hostListEveryMs,omitempty" validate:"min=0,max=60000"`
	ConfigEveryMs   int `json:"configEveryMs,omitempty" validate:"min=0,max=10000"`
	ProbeEveryMs    int `json:"probeEveryMs,omitempty" validate:"min=0,max=3000"`
	GossipEveryMs   int `json:"gossipEveryMs,omitempty" validate:"min=0,max=10000"`
	HostTimeoutMs   int `json:"hostTimeoutMs,omitempty" validate:"min=0,max=120000"`
	// The invariant leaving allows no more than 3 s.
	LeaveLimitMs   int `json:"leaveLimitMs,omitempty" validate:"min=0,max=3000"`
	LeaseTTLMs     int `json:"leaseTtlMs,omitempty" validate:"min=0,max=300000"`
	OrderTimeoutMs int `json:"orderTimeoutMs,omitempty" validate:"min=0,max=120000"`
	// The budget of repeats that all hosts share: in each window, a ratio of the requests and a number besides.
	RetryWindowMs int     `json:"retryWindowMs,omitempty" validate:"min=0,max=600000"`
	RetryRatio    float64 `json:"retryRatio,omitempty" validate:"min=0,max=10"`
	RetryBurst    float64 `json:"retryBurst,omitempty" validate:"min=0,max=1000000"`
	// Told to callers that are refused for the load.
	OverloadRetryMs int `json:"overloadRetryMs,omitempty" validate:"min=0,max=600000"`
	// From the signal to stop until new requests are refused.
	DrainNoticeMs int  `json:"drainNoticeMs,omitempty" validate:"min=0,max=60000"`
	Pushed        bool `json:"platformPushes,omitempty"` // the platform pushes its list and the configuration
}

// Table returns the limits with the defaults filled in.
func (l Limits) Table() rocktable.Limits {
	limits := rocktable.DefaultLimits()
	if l.MaxRequests > 0 {
		limits.MaxRequests = l.MaxRequests
	}
	setMs(&limits.HostListEvery, l.HostListEveryMs)
	setMs(&limits.ConfigEvery, l.ConfigEveryMs)
	setMs(&limits.ProbeEvery, l.ProbeEveryMs)
	setMs(&limits.GossipEvery, l.GossipEveryMs)
	setMs(&limits.HostTimeout, l.HostTimeoutMs)
	setMs(&limits.LeaveLimit, l.LeaveLimitMs)
	setMs(&limits.LeaseTTL, l.LeaseTTLMs)
	setMs(&limits.OrderTimeout, l.OrderTimeoutMs)
	setMs(&limits.DrainNotice, l.DrainNoticeMs)
	setMs(&limits.RetryWindow, l.RetryWindowMs)
	setMs(&limits.OverloadRetry, l.OverloadRetryMs)
	limits.RetryRatio, limits.RetryBurst, limits.PlatformPushes = l.RetryRatio, l.RetryBurst, l.Pushed
	return limits
}

func setMs(d *time.Duration, ms int) {
	if ms > 0 {
		*d = time.Duration(ms) * time.Millisecond
	}
}

// MaxBody returns the longest body of a caller's request in bytes.
func (d Daemon) MaxBody() int64 {
	if d.BodyLimit > 0 {
		return d.BodyLimit
	}
	return DefaultBodyLimit
}

// checkDaemon returns what is wrong with a daemon's settings beyond single fields.
func checkDaemon(d Daemon) Problems {
	var c checker
	if d.OperatorTLS == nil && d.OperatorTokenSHA256 == "" && !isLoopback(d.OperatorsAddress) {
		c.reject("operatorsAddress", strconv.Quote(d.OperatorsAddress), "a loopback address, or operatorTls or operatorTokenSha256 must be set")
	}
	if host, _, err := net.SplitHostPort(d.PeersAddress); err == nil && d.PeersAdvertised == "" && (host == "" || net.ParseIP(host).IsUnspecified()) {
		c.reject("peersAddress", strconv.Quote(d.PeersAddress), "an address that other hosts can reach, or peersAdvertisedAddress must be set")
	}
	if d.OperatorTokenSHA256 != strings.ToLower(d.OperatorTokenSHA256) {
		c.reject("operatorTokenSha256", strconv.Quote(d.OperatorTokenSHA256), "lower-case hexadecimal digits")
	}
	if d.PeerTLS == nil && !d.Limits.Pushed {
		for _, field := range []string{"certFile", "keyFile", "caFile"} {
			c.reject("peerTls."+field, "a missing value", "not empty")
		}
	}
	limits := d.Limits.Table()
	// A single lost heartbeat must not mark a host as down.
	c.checkAtLeast("limits.hostTimeoutMs", limits.HostTimeout, 3*limits.GossipEvery, "three times gossipEveryMs")
	c.checkAtLeast("limits.leaveLimitMs", limits.LeaveLimit, limits.ProbeEvery, "probeEveryMs")
	// The holder of the lease stops sending orders one order timeout before the lease ends.
	c.checkAtLeast("limits.leaseTtlMs", limits.LeaseTTL, 2*limits.OrderTimeout, "twice orderTimeoutMs")
	c.checkUnique("seedPeers", "", d.SeedPeers)
	return c.problems
}

func (c *checker) checkAtLeast(field string, value, least time.Duration, what string) {
	if value < least {
		c.reject(field, strconv.FormatInt(value.Milliseconds(), 10), fmt.Sprintf("at least %d (%s)", least.Milliseconds(), what))
	}
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	return host == "localhost" || net.ParseIP(host).IsLoopback()
}
