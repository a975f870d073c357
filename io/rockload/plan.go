package rockload

import (
	"iter"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// DefaultCount bounds a plan that gives no count.
	DefaultCount = 10000
	// DefaultDuration bounds a plan that gives no duration.
	DefaultDuration = time.Minute
	// DefaultTimeout ends a request that is not answered.
	DefaultTimeout = time.Minute
	// DefaultMaxInFlight bounds the generator's memory and sockets when the system under test stops answering.
	DefaultMaxInFlight = 5000
)

// ErrPlan says that a plan has a value that is not allowed.
var ErrPlan = eris.New("invalid load plan")

// Plan says what load is sent, where and for how long; it is bounded in count and time.
type Plan struct {
	Targets       []string `json:"targets" validate:"required,min=1"` // callers' addresses, used in turn: host and port, or URLs
	Model         string   `json:"model" validate:"required"`
	RatePerSecond float64  `json:"ratePerSecond" validate:"gt=0,max=1000000"`
	Count         int      `json:"count,omitempty" validate:"min=0"`      // requests; 0 means DefaultCount
	DurationMs    int      `json:"durationMs,omitempty" validate:"min=0"` // of the arrivals; 0 means DefaultDuration
	TimeoutMs     int      `json:"timeoutMs,omitempty" validate:"min=0"`  // of one request; 0 means DefaultTimeout
	MaxInFlight   int      `json:"maxInFlight,omitempty" validate:"min=0"`
	Seed          uint64   `json:"seed,omitempty"`
	Mix           []Share  `json:"mix" validate:"required,min=1,dive"`
}

// Share is a part of the load: the requests of one caller in one rank.
type Share struct {
	Caller    string   `json:"caller"` // name in the report
	Token     string   `json:"token"`
	Rank      string   `json:"rank"`
	Weight    float64  `json:"weight,omitempty" validate:"min=0,max=1000000"` // 0 means 1
	MaxTokens int      `json:"maxTokens" validate:"min=1"`
	Prompts   []string `json:"prompts" validate:"required,min=1"` // one is chosen at random
}

// Arrival is one scheduled request.
type Arrival struct {
	At     time.Duration // since the start
	Share  int           // index in Plan.Mix
	Target int           // index in Plan.Targets
	Prompt string
}

// withDefaults returns the plan with the defaults for zero bounds, or an error that is ErrPlan.
func (p Plan) withDefaults() (Plan, error) {
	if err := p.check(); err != nil {
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

func (p Plan) check() error {
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

// Arrivals returns the schedule of a valid plan with its bounds set; the same plan gives the same schedule.
func (p Plan) Arrivals() iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		rng := rand.New(rand.NewPCG(p.Seed, 1))
		var at time.Duration
		for i := range p.Count {
			at += time.Duration(rng.ExpFloat64() / p.RatePerSecond * float64(time.Second))
			if at > time.Duration(p.DurationMs)*time.Millisecond {
				return
			}
			share := p.pick(rng)
			prompts := p.Mix[share].Prompts
			a := Arrival{At: at, Share: share, Target: i % len(p.Targets), Prompt: prompts[rng.IntN(len(prompts))]}
			if !yield(a) {
				return
			}
		}
	}
}

// pick chooses a share by weight.
func (p Plan) pick(rng *rand.Rand) int {
	total := 0.0
	for _, s := range p.Mix {
		total += s.weight()
	}
	left := rng.Float64() * total
	for i, s := range p.Mix {
		left -= s.weight()
		if left < 0 {
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
