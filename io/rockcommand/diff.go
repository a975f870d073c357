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

// Difference is one field in which two configurations differ. Old or New is empty if that configuration
// lacks the field.
type Difference struct {
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// diffConfigurations compares two configurations field by field. It matches entries of lists by name.
// By position, all entries after an inserted one would differ.
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

// flattenConfiguration returns the fields of a configuration as JSON values by path, such as
// "ranks[urgent].floor".
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
	// The order of the ranks is their order of urgency. Paths that contain names don't show it, so it is
	// compared as a separate field.
	names := make([]string, len(cfg.Ranks))
	for i, rank := range cfg.Ranks {
		names[i] = rank.Name
	}
	if len(names) > 0 {
		fields["ranks (order)"] = strings.Join(names, ", ")
	}
	return fields, nil
}

// flatten adds the plain values within a decoded JSON value to fields, by path.
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
		fields[path] = encodeJSON(v)
	}
}

// flattenList adds the entries of a list to fields, by name. A repeated name gets a suffix such as
// "#2".
func flattenList(fields map[string]string, path string, list []any) {
	seen := make(map[string]int)
	for _, v := range list {
		entry, ok := v.(map[string]any)
		if !ok {
			// A list of plain values is compared as a single field.
			fields[path] = encodeJSON(list)
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

func encodeJSON(v any) string {
	// Encoding cannot fail, because the value was decoded from JSON.
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
