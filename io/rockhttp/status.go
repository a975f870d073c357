package rockhttp

import (
	"net/http"

	"github.com/labstack/echo/v5"

	"sassafrasrock/core/rockreason"
	"sassafrasrock/core/rocktable"
)

// OutcomesBody is the answer to GET /v1/outcomes: the caller's totals on this host since the host started.
type OutcomesBody struct {
	Caller string         `json:"caller"`
	Host   string         `json:"host"`
	Ranks  []RankOutcomes `json:"ranks"` // in order of urgency
	Calls  RankOutcomes   `json:"calls"` // application calls, which have no target
}

// RankOutcomes counts the caller's requests of one rank, or its application calls.
type RankOutcomes struct {
	Rank         string `json:"rank,omitempty"`
	Answered     int    `json:"answered"` // complete answers
	WithinTarget int    `json:"kept"`     // complete answers within the target
	Refused      int    `json:"refused"`  // not run
	Failed       int    `json:"failed"`   // neither answered completely nor refused
	Tokens       int    `json:"tokens"`
}

func (s *Server) outcomes(c *echo.Context, v view) {
	status, err := s.Status(c.Request().Context())
	if err != nil {
		s.refuse(c, rockreason.ShuttingDown, "")
		return
	}
	s.writeJSON(c, http.StatusOK, outcomesBody(v, status))
}

func outcomesBody(v view, status *rocktable.Status) OutcomesBody {
	body := OutcomesBody{Caller: status.Callers[v.caller], Host: status.Host, Ranks: []RankOutcomes{}}
	for _, rank := range v.snapshot.Config.Ranks {
		body.Ranks = append(body.Ranks, rankOutcomes(v, status, v.snapshot.Ranks[rank.Name], rank.Name))
	}
	body.Calls = rankOutcomes(v, status, rocktable.NoRank, "")
	return body
}

func rankOutcomes(v view, status *rocktable.Status, id rocktable.RankID, name string) RankOutcomes {
	t := status.Tallies[rocktable.ShareKey{Rank: id, Caller: v.caller}]
	return RankOutcomes{Rank: name, Answered: t.Answered, WithinTarget: t.WithinTarget, Refused: t.Refused, Failed: t.Failed, Tokens: t.Tokens}
}

// Readiness is the answer to GET /readyz.
type Readiness struct {
	Ready         bool   `json:"ready"`
	Draining      bool   `json:"draining"`
	ConfigVersion uint64 `json:"configVersion"`
}

func (s *Server) healthz(c *echo.Context) error {
	return c.String(http.StatusOK, "ok\n")
}

func (s *Server) readyz(c *echo.Context) error {
	snapshot := s.Snapshot()
	r := Readiness{Ready: snapshot.Ready, Draining: snapshot.Draining, ConfigVersion: snapshot.ConfigVersion}
	status := http.StatusOK
	if !r.Ready || r.Draining {
		status = http.StatusServiceUnavailable
	}
	s.writeJSON(c, status, r)
	return nil
}
