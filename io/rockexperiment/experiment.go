package rockexperiment

// Experiment measures one property of the policy under test. It is a data value, as are systems and
// invariants.
type Experiment struct {
	Name        string
	Description string // what the experiment measures
	Run         func(seed uint64) ([]Record, error)
}

// Relation is the relation that a value must have to its target.
type Relation string

// The values of Relation.
const (
	AtLeast  Relation = "atLeast"
	AtMost   Relation = "atMost"
	NoTarget Relation = "" // no target; the value is only reported
)

// Record is one measured value.
type Record struct {
	Experiment    string   `json:"experiment"`
	Seed          uint64   `json:"seed"`
	Measure       string   `json:"measure"`
	Unit          string   `json:"unit"`               // empty for a ratio
	PolicyValue   float64  `json:"policy"`             // value measured with the policy
	Baseline      string   `json:"baseline,omitempty"` // name of the baseline
	BaselineValue float64  `json:"baselineValue"`
	Relation      Relation `json:"relation,omitempty"`
	Target        float64  `json:"target"`
	Met           bool     `json:"met"`
}

// Evaluate returns the record with Met set according to its relation and target. A record without a target
// is met.
func (r Record) Evaluate() Record {
	switch r.Relation {
	case AtLeast:
		r.Met = r.PolicyValue >= r.Target
	case AtMost:
		r.Met = r.PolicyValue <= r.Target
	default:
		r.Met = true
	}
	return r
}
