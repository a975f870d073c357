package rockcommand

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	v1 "sassafrasrock/schema/gen/sassafrasrock/v1"
)

type outcomesCommand struct{}

type outcomesResult struct {
	Hosts   []string      `json:"hosts"`   // names of the hosts whose totals are included
	Missing []string      `json:"missing"` // addresses whose call failed, with the error
	Totals  []totalResult `json:"totals"`
}

type totalResult struct {
	Caller   string `json:"caller"`
	Rank     string `json:"rank"`
	Answered int64  `json:"answered"`
	Kept     int64  `json:"kept"`
	Refused  int64  `json:"refused"`
	Failed   int64  `json:"failed"`
	Tokens   int64  `json:"tokens"`
}

// Run adds up the totals of all hosts given.
func (c *outcomesCommand) Run(inv *invocation) error {
	clients, err := inv.clients()
	if err != nil {
		return err
	}
	result := outcomesResult{Hosts: []string{}, Missing: []string{}, Totals: []totalResult{}}
	for _, client := range clients {
		answer, err := client.GetOutcomes(inv.ctx)
		if err != nil {
			result.Missing = append(result.Missing, fmt.Sprintf("%s: %v", client.Address, err))
			continue
		}
		// Two addresses may belong to the same host, whose totals must count only once.
		if !slices.Contains(result.Hosts, answer.GetHost()) {
			result.Hosts = append(result.Hosts, answer.GetHost())
			result.addTotals(answer.GetTotals())
		}
	}
	slices.SortFunc(result.Totals, func(a, b totalResult) int {
		return cmp.Or(cmp.Compare(a.Caller, b.Caller), cmp.Compare(a.Rank, b.Rank))
	})
	if err := inv.print(result, result.writeText); err != nil {
		return err
	}
	if len(result.Missing) > 0 {
		return exitWith(ExitFailed, "the sums lack %d of %d servers", len(result.Missing), len(clients))
	}
	return nil
}

func (r *outcomesResult) addTotals(totals []*v1.Total) {
	for _, t := range totals {
		i := slices.IndexFunc(r.Totals, func(other totalResult) bool {
			return other.Caller == t.GetCaller() && other.Rank == t.GetRank()
		})
		if i < 0 {
			i = len(r.Totals)
			r.Totals = append(r.Totals, totalResult{Caller: t.GetCaller(), Rank: t.GetRank()})
		}
		sum := &r.Totals[i]
		sum.Answered += t.GetAnswered()
		sum.Kept += t.GetKept()
		sum.Refused += t.GetRefused()
		sum.Failed += t.GetFailed()
		sum.Tokens += t.GetTokens()
	}
}

func (r outcomesResult) writeText(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CALLER\tRANK\tANSWERED\tKEPT\tREFUSED\tFAILED\tTOKENS")
	for _, row := range r.Totals {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\n", row.Caller, cmp.Or(row.Rank, "(calls)"), row.Answered, row.Kept, row.Refused, row.Failed, row.Tokens)
	}
	_ = t.Flush()
	fmt.Fprintf(w, "sums over %d hosts\n", len(r.Hosts))
	for _, missing := range r.Missing {
		fmt.Fprintf(w, "missing: %s\n", missing)
	}
}
