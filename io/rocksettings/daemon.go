package rocksettings

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"sassafrasrock/core/rocktable"
)

// DefaultBodyLimitBytes is the maximum body size of a caller's request if the settings omit
// bodyLimitBytes.
const DefaultBodyLimitBytes = 4 << 20

// Daemon holds the settings of the daemons sassafrasrockd and sassafrasrock-entry.
type Daemon struct {
	Host                   string `json:"host" validate:"required,max=64"`
	DataCentre             string `json:"dataCentre" validate:"required,max=64"`
	Region                 string `json:"region" validate:"required,max=64"`
	CallersAddress         string `json:"callersAddress" validate:"required,listen"`
	OperatorsAddress       string `json:"operatorsAddress" validate:"required,listen"`
	PeersAddress           string `json:"peersAddress" validate:"required,listen"`                       // UDP
	PeersAdvertisedAddress string `json:"peersAdvertisedAddress,omitempty" validate:"omitempty,address"` // address that other hosts send to; empty means peersAddress
	PlatformURL            string `json:"platformUrl" validate:"required,http_url"`
	// May be nil if platformPushes is set: the daemon then generates a key when it starts.
	PeerTLS *TLSFiles `json:"peerTls,omitempty"`
	// Readiness endpoint of sassafrasrock-entry for load balancers; sassafrasrockd serves its own on
	// callersAddress.
	ReadyAddress        string    `json:"readyAddress,omitempty" validate:"omitempty,listen"`
	MetricsAddress      string    `json:"metricsAddress,omitempty" validate:"omitempty,listen"`
	OperatorTLS         *TLSFiles `json:"operatorTls,omitempty"`                                                 // nil means plain HTTP
	OperatorTokenSHA256 string    `json:"operatorTokenSha256,omitempty" validate:"omitempty,len=64,hexadecimal"` // empty means that operators need no token
	BodyLimitBytes      int64     `json:"bodyLimitBytes,omitempty" validate:"min=0,max=1073741824"`              // 0 means DefaultBodyLimitBytes
	SeedPeers           []string  `json:"seedPeers,omitempty" validate:"max=64,dive,address"`
	LogLevel            string    `json:"logLevel,omitempty" validate:"omitempty,oneof=debug info warn error"` // empty means info
	Limits              Limits    `json:"limits,omitzero"`
}

// TLSFiles holds the names of PEM files: the host's own certificate, its key, and the trust root that
// verifies the other side.
type TLSFiles struct {
	CertFile string `json:"certFile" validate:"required"`
	KeyFile  string `json:"keyFile" validate:"required"`
	CAFile   string `json:"caFile" validate:"required"`
}

// Limits holds the settings from which WithDefaults makes rocktable.Limits. A zero field means the default
// of rocktable.DefaultLimits.
type Limits struct {
	MaxRequests     int          `json:"maxRequests,omitempty" validate:"min=0,max=1000000"`
	HostListEveryMs Milliseconds `json:"hostListEveryMs,omitempty" validate:"milliseconds=60000"`
	ConfigEveryMs   Milliseconds `json:"configEveryMs,omitempty" validate:"milliseconds=10000"`
	ProbeEveryMs    Milliseconds `json:"probeEveryMs,omitempty" validate:"milliseconds=3000"`
	GossipEveryMs   Milliseconds `json:"gossipEveryMs,omitempty" validate:"milliseconds=10000"`
	HostTimeoutMs   Milliseconds `json:"hostTimeoutMs,omitempty" validate:"milliseconds=120000"`
	// At most 3 s, the bound of the invariant "leaving".
	LeaveLimitMs   Milliseconds `json:"leaveLimitMs,omitempty" validate:"milliseconds=3000"`
	LeaseTTLMs     Milliseconds `json:"leaseTtlMs,omitempty" validate:"milliseconds=300000"`
	OrderTimeoutMs Milliseconds `json:"orderTimeoutMs,omitempty" validate:"milliseconds=120000"`
	// The retry budget that all hosts share: each window allows RetryRatio retries per request and
	// RetryBurst retries in addition.
	RetryWindowMs Milliseconds `json:"retryWindowMs,omitempty" validate:"milliseconds=600000"`
	// The same in seconds; at most one of the two may be set.
	RetryWindowS Seconds `json:"retryWindowS,omitempty" validate:"seconds=600"`
	RetryRatio   float64 `json:"retryRatio,omitempty" validate:"min=0,max=10"`
	RetryBurst   float64 `json:"retryBurst,omitempty" validate:"min=0,max=1000000"`
	// Retry delay that is sent to callers whose requests are rejected under overload.
	OverloadRetryMs Milliseconds `json:"overloadRetryMs,omitempty" validate:"milliseconds=600000"`
	// Fraction of a backend server's capacity that a rank without worth leaves to the most urgent one while capacity is
	// short; ranks in between leave less. 0 keeps none.
	RankReserve float64 `json:"rankReserve,omitempty" validate:"min=0,max=0.9"`
	// Time between the stop signal and the first rejection of new requests.
	DrainNoticeMs Milliseconds `json:"drainNoticeMs,omitempty" validate:"milliseconds=60000"`
	// Time between the stop signal and the end of the process from outside; 0 means that nothing ends it and it waits
	// for its last request.
	StopGraceS Seconds `json:"stopGraceS,omitempty" validate:"seconds=3600"`
	// Memory of the process, in MB; 0 means the limit that the kernel sets, or rockmemory.DefaultProcessBytes.
	MemoryMB float64 `json:"memoryMb,omitempty" validate:"omitempty,min=64,max=1048576"`
	// The platform pushes its host list and the configuration; the daemon reads neither.
	PlatformPushes bool `json:"platformPushes,omitempty"`
}

// WithDefaults returns the limits for rocktable, with the defaults in place of zero fields.
func (l Limits) WithDefaults() rocktable.Limits {
	limits := rocktable.DefaultLimits()
	if l.MaxRequests > 0 {
		limits.MaxRequests = l.MaxRequests
	}
	override(&limits.HostListEvery, l.HostListEveryMs.Duration())
	override(&limits.ConfigEvery, l.ConfigEveryMs.Duration())
	override(&limits.ProbeEvery, l.ProbeEveryMs.Duration())
	override(&limits.GossipEvery, l.GossipEveryMs.Duration())
	override(&limits.HostTimeout, l.HostTimeoutMs.Duration())
	override(&limits.LeaveLimit, l.LeaveLimitMs.Duration())
	override(&limits.LeaseTTL, l.LeaseTTLMs.Duration())
	override(&limits.OrderTimeout, l.OrderTimeoutMs.Duration())
	override(&limits.DrainNotice, l.DrainNoticeMs.Duration())
	override(&limits.StopGrace, l.StopGraceS.Duration())
	override(&limits.RetryWindow, l.RetryWindowMs.Duration())
	override(&limits.RetryWindow, l.RetryWindowS.Duration())
	override(&limits.OverloadRetry, l.OverloadRetryMs.Duration())
	limits.LeaseTTL = limits.LeaseTTL.Truncate(time.Millisecond) // the row of the lease holds whole milliseconds
	limits.RetryRatio, limits.RetryBurst, limits.PlatformPushes = l.RetryRatio, l.RetryBurst, l.PlatformPushes
	limits.RankReserve = l.RankReserve
	return limits
}

// override sets d to a setting, or leaves its default if the setting is 0.
func override(d *time.Duration, setting time.Duration) {
	if setting > 0 {
		*d = setting
	}
}

// MaxBodyBytes returns the maximum body size of a caller's request in bytes.
func (d Daemon) MaxBodyBytes() int64 {
	if d.BodyLimitBytes > 0 {
		return d.BodyLimitBytes
	}
	return DefaultBodyLimitBytes
}

// checkDaemon checks the rules of a daemon's settings that involve several fields.
func checkDaemon(d Daemon) Problems {
	var c checker
	if d.OperatorTLS == nil && d.OperatorTokenSHA256 == "" && !isLoopback(d.OperatorsAddress) {
		c.reject("operatorsAddress", strconv.Quote(d.OperatorsAddress), "a loopback address, or any address if operatorTls or operatorTokenSha256 is set")
	}
	if host, _, err := net.SplitHostPort(d.PeersAddress); err == nil && d.PeersAdvertisedAddress == "" && (host == "" || net.ParseIP(host).IsUnspecified()) {
		c.reject("peersAddress", strconv.Quote(d.PeersAddress), "a specific address that other hosts can reach, or any address if peersAdvertisedAddress is set")
	}
	if d.OperatorTokenSHA256 != strings.ToLower(d.OperatorTokenSHA256) {
		c.reject("operatorTokenSha256", strconv.Quote(d.OperatorTokenSHA256), "lower-case hexadecimal digits")
	}
	if d.PeerTLS == nil && !d.Limits.PlatformPushes {
		for _, field := range []string{"certFile", "keyFile", "caFile"} {
			c.reject("peerTls."+field, "a missing value", "not empty")
		}
	}
	limits := d.Limits.WithDefaults()
	// A single lost heartbeat must not mark a host as down.
	c.checkMinimum("limits.hostTimeoutMs", limits.HostTimeout, 3*limits.GossipEvery, "three times gossipEveryMs")
	c.checkMinimum("limits.leaveLimitMs", limits.LeaveLimit, limits.ProbeEvery, "probeEveryMs")
	// The lease holder stops sending orders one order timeout before the lease expires.
	c.checkMinimum("limits.leaseTtlMs", limits.LeaseTTL, 2*limits.OrderTimeout, "twice orderTimeoutMs")
	if d.Limits.RetryWindowMs != 0 && d.Limits.RetryWindowS != 0 {
		c.reject("limits.retryWindowS", formatNumber(float64(d.Limits.RetryWindowS)), "only one of retryWindowMs and retryWindowS")
	}
	c.checkUnique("seedPeers", "", d.SeedPeers)
	return c.problems
}

// checkMinimum rejects a duration below its minimum. The problem shows the minimum in milliseconds
// and, as bound, the expression that it comes from.
func (c *checker) checkMinimum(field string, value, minimum time.Duration, bound string) {
	if value < minimum {
		c.reject(field, formatMs(value), fmt.Sprintf("at least %s (%s)", formatMs(minimum), bound))
	}
}

// formatMs returns a duration as a number of milliseconds.
func formatMs(d time.Duration) string {
	return formatNumber(float64(d) / float64(time.Millisecond))
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	return host == "localhost" || net.ParseIP(host).IsLoopback()
}
