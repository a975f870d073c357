package rockexperiment

// Experiment measures one property; it is a data value like a system or an invariant.
type Experiment struct {
	Name string
	Doc  string
	Run  func(seed uint64) ([]Record, error)
}

// Relation tells how a value has to lie to its target.
type Relation string

// The relations of a value to its target.
const (
	AtLeast Relation = "atLeast"
	AtMost  Relation = "atMost"
	None    Relation = "" // reported only
)

// Record is one measured value.
type Record struct {
	Experiment    string   `json:"experiment"`
	Seed          uint64   `json:"seed"`
	Measure       string   `json:"measure"`
	Unit          string   `json:"unit"` // empty for a ratio
	Policy        float64  `json:"policy"`
	Baseline      string   `json:"baseline,omitempty"` // name
	BaselineValue float64  `json:"baselineValue"`
	Relation      Relation `json:"relation,omitempty"`
	Target        float64  `json:"target"`
	Met           bool     `json:"met"`
}

// Judge returns the record with Met set by its relation and target; a record without a target is met.
func (r Record) Judge() Record {
	switch r.Relation {
	case AtLeast:
		r.Met = r.Policy >= r.Target
	case AtMost:
		r.Met = r.Policy <= r.Target
	default:
		r.Met = true
	}
	return r
}
