package rockload

import (
	"iter"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// DefaultCount is the largest number of requests if a plan sets no count.
	DefaultCount = 10000
	// DefaultDuration is the length of the schedule if a plan sets no duration.
	DefaultDuration = time.Minute
	// DefaultTimeout bounds each request if a plan sets no timeout.
	DefaultTimeout = time.Minute
	// DefaultMaxInFlight bounds the requests in flight if a plan sets no bound. It limits the generator's
	// memory and sockets when the system under test stops answering.
	DefaultMaxInFlight = 5000
)

// ErrPlan is the error for a plan with an invalid value.
var ErrPlan = eris.New("invalid load plan")

// Plan describes the load: the targets, the rate, the mix of requests, and bounds on their number and
// on the time.
type Plan struct {
	Targets       []string `json:"targets" validate:"required,min=1"` // callers' addresses, used round-robin: host and port, or URLs
	Model         string   `json:"model" validate:"required"`
	RatePerSecond float64  `json:"ratePerSecond" validate:"gt=0,max=1000000"`
	Count         int      `json:"count,omitempty" validate:"min=0"`       // largest number of requests; 0 means DefaultCount
	DurationMs    int      `json:"durationMs,omitempty" validate:"min=0"`  // time over which requests are sent; 0 means DefaultDuration
	TimeoutMs     int      `json:"timeoutMs,omitempty" validate:"min=0"`   // for one request; 0 means DefaultTimeout
	MaxInFlight   int      `json:"maxInFlight,omitempty" validate:"min=0"` // further requests are dropped; 0 means DefaultMaxInFlight
	Seed          uint64   `json:"seed,omitempty"`
	Mix           []Share  `json:"mix" validate:"required,min=1,dive"`
}

// Share is a fraction of the load: the requests of one caller in one rank.
type Share struct {
	Caller    string   `json:"caller"` // name of the caller in the report
	Token     string   `json:"token"`  // bearer token
	Rank      string   `json:"rank"`
	Weight    float64  `json:"weight,omitempty" validate:"min=0,max=1000000"` // relative to the other shares; 0 means 1
	MaxTokens int      `json:"maxTokens" validate:"min=1"`
	Prompts   []string `json:"prompts" validate:"required,min=1"` // each request has one of them, chosen at random
}

// Arrival is one scheduled request.
type Arrival struct {
	At     time.Duration // since the start of the run
	Share  int           // index in Plan.Mix
	Target int           // index in Plan.Targets
	Prompt string
}

// withDefaults returns the plan with defaults in place of zero bounds, or ErrPlan if the plan is invalid.
func (p Plan) withDefaults() (Plan, error) {
	if err := p.validate(); err != nil {
		return p, err
	}
	setDefault(&p.Count, DefaultCount)
	setDefault(&p.DurationMs, int(DefaultDuration.Milliseconds()))
	setDefault(&p.TimeoutMs, int(DefaultTimeout.Milliseconds()))
	setDefault(&p.MaxInFlight, DefaultMaxInFlight)
	return p, nil
}

func setDefault(v *int, d int) {
	if *v == 0 {
		*v = d
	}
}

func (p Plan) validate() error {
	switch {
	case len(p.Targets) == 0:
		return eris.Wrap(ErrPlan, "targets: empty; allowed: at least one address")
	case !(p.RatePerSecond > 0 && p.RatePerSecond <= 1e6):
		return eris.Wrapf(ErrPlan, "ratePerSecond: %v is not allowed; allowed: more than 0, at most 1000000", p.RatePerSecond)
	case p.Count < 0 || p.DurationMs < 0 || p.TimeoutMs < 0 || p.MaxInFlight < 0:
		return eris.Wrap(ErrPlan, "count, durationMs, timeoutMs and maxInFlight: a negative value is not allowed")
	case len(p.Mix) == 0:
		return eris.Wrap(ErrPlan, "mix: empty; allowed: at least one entry")
	}
	for i, s := range p.Mix {
		if len(s.Prompts) == 0 {
			return eris.Wrapf(ErrPlan, "mix[%d].prompts: empty; allowed: at least one prompt", i)
		}
		if !(s.Weight >= 0 && s.Weight <= 1e6) {
			return eris.Wrapf(ErrPlan, "mix[%d].weight: %v is not allowed; allowed: 0 to 1000000", i, s.Weight)
		}
	}
	return nil
}

// Arrivals returns the schedule of a valid plan whose bounds are set. The times between arrivals are
// exponentially distributed. The same plan gives the same schedule.
func (p Plan) Arrivals() iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		rng := rand.New(rand.NewPCG(p.Seed, 1))
		var at time.Duration
		for i := range p.Count {
			at += time.Duration(rng.ExpFloat64() / p.RatePerSecond * float64(time.Second))
			if at > time.Duration(p.DurationMs)*time.Millisecond {
				return
			}
			share := p.pickShare(rng)
			prompts := p.Mix[share].Prompts
			a := Arrival{At: at, Share: share, Target: i % len(p.Targets), Prompt: prompts[rng.IntN(len(prompts))]}
			if !yield(a) {
				return
			}
		}
	}
}

// pickShare returns the index of a share, chosen at random by weight.
func (p Plan) pickShare(rng *rand.Rand) int {
	total := 0.0
	for _, s := range p.Mix {
		total += s.weight()
	}
	remaining := rng.Float64() * total
	for i, s := range p.Mix {
		remaining -= s.weight()
		if remaining < 0 {
			return i
		}
	}
	return len(p.Mix) - 1
}

func (s Share) weight() float64 {
	if s.Weight == 0 {
		return 1
	}
	return s.Weight
}
