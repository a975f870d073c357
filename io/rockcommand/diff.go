package rockcommand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"sassafrasrock/core/rocktable"
)

// Difference is one field that two configurations differ in; Old or New is empty where the field is missing.
type Difference struct {
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// diffConfigurations compares field by field; entries of lists are matched by name, so that an inserted entry is one difference.
func diffConfigurations(before, after rocktable.Configuration) ([]Difference, error) {
	a, err := flattenConfiguration(before)
	if err != nil {
		return nil, err
	}
	b, err := flattenConfiguration(after)
	if err != nil {
		return nil, err
	}
	fields := maps.Clone(a)
	maps.Copy(fields, b)
	var differences []Difference
	for _, field := range slices.Sorted(maps.Keys(fields)) {
		if a[field] != b[field] {
			differences = append(differences, Difference{Field: field, Old: a[field], New: b[field]})
		}
	}
	return differences, nil
}

func flattenConfiguration(cfg rocktable.Configuration) (map[string]string, error) {
	data, err := json.Marshal(cfg)
	if err != nil {
		return nil, err
	}
	var tree map[string]any
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		return nil, err
	}
	fields := make(map[string]string)
	flatten(fields, "", tree)
	// The order of ranks is their urgency, and is lost when entries are matched by name.
	names := make([]string, len(cfg.Ranks))
	for i, rank := range cfg.Ranks {
		names[i] = rank.Name
	}
	if len(names) > 0 {
		fields["ranks (order)"] = strings.Join(names, ", ")
	}
	return fields, nil
}

func flatten(fields map[string]string, path string, v any) {
	switch v := v.(type) {
	case nil:
	case map[string]any:
		for name, child := range v {
			flatten(fields, strings.TrimPrefix(path+"."+name, "."), child)
		}
	case []any:
		flattenList(fields, path, v)
	default:
		fields[path] = compact(v)
	}
}

func flattenList(fields map[string]string, path string, list []any) {
	seen := make(map[string]int)
	for _, v := range list {
		entry, ok := v.(map[string]any)
		if !ok {
			// A list of plain values is one field.
			fields[path] = compact(list)
			return
		}
		name, ok := entry["name"]
		if !ok {
			name = entry["backendServer"]
		}
		key := fmt.Sprintf("%s[%v]", path, name)
		seen[key]++
		if n := seen[key]; n > 1 {
			key = fmt.Sprintf("%s#%d", key, n)
		}
		flatten(fields, key, entry)
	}
}

func compact(v any) string {
	// The value was decoded from JSON, so it can be encoded.
	data, _ := json.Marshal(v)
	return string(data)
}

func writeDifferences(w io.Writer, differences []Difference) {
	for _, d := range differences {
		switch {
		case d.Old == "":
			fmt.Fprintf(w, "+ %s: %s\n", d.Field, d.New)
		case d.New == "":
			fmt.Fprintf(w, "- %s: %s\n", d.Field, d.Old)
		default:
			fmt.Fprintf(w, "~ %s: %s -> %s\n", d.Field, d.Old, d.New)
		}
	}
}
