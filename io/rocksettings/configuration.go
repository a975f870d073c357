package rocksettings

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"sassafrasrock/core/rocktable"
)

// CheckConfiguration checks the rules of a configuration that involve several fields, and those that
// a validate tag cannot express. It returns nil if there are no problems.
func CheckConfiguration(cfg rocktable.Configuration) Problems {
	var c checker
	c.checkPipelines(cfg.Pipelines)
	c.checkRanks(cfg.Ranks)
	c.checkCallers(cfg.Callers, cfg.Ranks)
	c.checkServices(cfg)
	c.checkUnique("drained", "", cfg.Drained)
	return c.problems
}

// checker collects the problems that the rules over several fields find.
type checker struct {
	problems Problems
}

func (c *checker) reject(field, value, allowed string) {
	c.problems = append(c.problems, Problem{Field: field, Value: value, Allowed: allowed})
}

// checkUnique rejects each value that occurs earlier in the list. subfield is the path suffix of the
// values within the list's entries, such as ".name"; it is empty for a list of plain values.
func (c *checker) checkUnique(list, subfield string, values []string) {
	first := make(map[string]int, len(values))
	for i, value := range values {
		if at, ok := first[value]; ok {
			field := fmt.Sprintf("%s[%d]%s", list, i, subfield)
			c.reject(field, strconv.Quote(value), fmt.Sprintf("a value that %s[%d] does not have", list, at))
			continue
		}
		first[value] = i
	}
}

func fieldValues[T any](rows []T, name func(T) string) []string {
	names := make([]string, len(rows))
	for i, row := range rows {
		names[i] = name(row)
	}
	return names
}

func (c *checker) checkPipelines(pipelines []rocktable.PipelineConfig) {
	c.checkUnique("pipelines", ".name", fieldValues(pipelines, func(p rocktable.PipelineConfig) string { return p.Name }))
	// Requests name only the model, so each model must belong to exactly one pipeline.
	c.checkUnique("pipelines", ".model", fieldValues(pipelines, func(p rocktable.PipelineConfig) string { return p.Model }))
	placed := make(map[string]string)
	for i, p := range pipelines {
		for j, placement := range p.Placements {
			field := fmt.Sprintf("pipelines[%d].placements[%d]", i, j)
			c.checkPlacement(field, placement, p.Layers)
			// A backend server can hold only one range of layers at a time.
			if at, ok := placed[placement.Server]; ok {
				c.reject(field+".backendServer", strconv.Quote(placement.Server), "a backend server that "+at+" does not use")
				continue
			}
			placed[placement.Server] = field
		}
	}
}

func (c *checker) checkPlacement(field string, p rocktable.Placement, layers int) {
	if p.FirstLayer >= layers {
		c.reject(field+".firstLayer", strconv.Itoa(p.FirstLayer), fmt.Sprintf("0 to %d", layers-1))
	}
	if p.LastLayer < p.FirstLayer || p.LastLayer >= layers {
		c.reject(field+".lastLayer", strconv.Itoa(p.LastLayer), fmt.Sprintf("%d to %d", p.FirstLayer, layers-1))
	}
}

func (c *checker) checkRanks(ranks []rocktable.RankConfig) {
	c.checkUnique("ranks", ".name", fieldValues(ranks, func(r rocktable.RankConfig) string { return r.Name }))
	sum := 0.0
	for i, r := range ranks {
		sum += r.Floor
		c.checkFinite(fmt.Sprintf("ranks[%d].worth", i), r.Worth)
	}
	if sum >= 1 {
		c.reject("ranks", fmt.Sprintf("a sum of floors of %g", sum), "a sum of less than 1")
	}
}

// checkFinite rejects infinities and NaN. The operators' protocol can carry them, but the
// configuration row is stored as JSON, which cannot.
func (c *checker) checkFinite(field string, value float64) {
	if math.IsInf(value, 0) || math.IsNaN(value) {
		c.reject(field, fmt.Sprint(value), "a finite number")
	}
}

func (c *checker) checkCallers(callers []rocktable.CallerConfig, ranks []rocktable.RankConfig) {
	c.checkUnique("callers", ".name", fieldValues(callers, func(caller rocktable.CallerConfig) string { return caller.Name }))
	c.checkUnique("callers", ".tokenSha256", fieldValues(callers, func(caller rocktable.CallerConfig) string { return caller.TokenSHA256 }))
	known := fieldValues(ranks, func(r rocktable.RankConfig) string { return r.Name })
	for i, caller := range callers {
		field := fmt.Sprintf("callers[%d]", i)
		// Tokens are looked up by the lower-case digest.
		if caller.TokenSHA256 != strings.ToLower(caller.TokenSHA256) {
			c.reject(field+".tokenSha256", strconv.Quote(caller.TokenSHA256), "lower-case hexadecimal digits")
		}
		c.checkFinite(field+".tokensPerSecond", caller.TokensPerSecond)
		c.checkFinite(field+".burst", caller.Burst)
		c.checkUnique(field+".ranks", "", caller.Ranks)
		for j, rank := range caller.Ranks {
			if !slices.Contains(known, rank) {
				c.reject(fmt.Sprintf("%s.ranks[%d]", field, j), strconv.Quote(rank), "a rank of this configuration: "+strings.Join(known, ", "))
			}
		}
	}
}

func (c *checker) checkServices(cfg rocktable.Configuration) {
	c.checkUnique("services", ".name", fieldValues(cfg.Services, func(s rocktable.ServiceConfig) string { return s.Name }))
	placed := make(map[string]bool)
	for _, p := range cfg.Pipelines {
		for _, placement := range p.Placements {
			placed[placement.Server] = true
		}
	}
	for i, s := range cfg.Services {
		field := fmt.Sprintf("services[%d]", i)
		// The name is one segment of the URL path that callers use.
		if strings.ContainsAny(s.Name, "/?#%") {
			c.reject(field+".name", strconv.Quote(s.Name), "a name without / ? # %")
		}
		c.checkUnique(field+".backendServers", "", s.Servers)
		for j, server := range s.Servers {
			if server == "" || placed[server] {
				c.reject(fmt.Sprintf("%s.backendServers[%d]", field, j), strconv.Quote(server), "the name of a backend server that holds no layers")
			}
		}
	}
}
