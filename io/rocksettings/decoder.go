package rocksettings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"
	"unicode"

	"github.com/tailscale/hujson"
)

// decoder decodes one file and collects its problems. It records the line, text and rule of each
// field by field path, such as "ranks[0].name". Without a file it only validates a struct.
type decoder struct {
	newlines   []int // byte offsets of the newline characters
	lineByPath map[string]int
	textByPath map[string]string
	ruleByPath map[string]rule // also of fields that the file omits
	problems   Problems
}

// rule is the validate tag of a field and the kind of its value.
type rule struct {
	tag  string
	kind reflect.Kind
}

func newDecoder(data []byte) *decoder {
	d := &decoder{
		lineByPath: make(map[string]int),
		textByPath: make(map[string]string),
		ruleByPath: make(map[string]rule),
	}
	for i, b := range data {
		if b == '\n' {
			d.newlines = append(d.newlines, i)
		}
	}
	return d
}

func (d *decoder) lineAt(offset int) int { return sort.SearchInts(d.newlines, offset) + 1 }

// addProblems appends problems and sets their missing line numbers. It skips a field that already has
// a problem.
func (d *decoder) addProblems(problems ...Problem) {
	for _, p := range problems {
		if d.hasProblem(p.Field) {
			continue
		}
		if p.Line == 0 {
			p.Line = d.nearestLine(p.Field)
		}
		d.problems = append(d.problems, p)
	}
}

func (d *decoder) hasProblem(field string) bool {
	for _, p := range d.problems {
		if p.Field == field {
			return true
		}
	}
	return false
}

// nearestLine returns the line of a field or, if the file omits it, of its closest parent in the
// file.
func (d *decoder) nearestLine(field string) int {
	for {
		if line, ok := d.lineByPath[field]; ok {
			return line
		}
		if field == "" {
			return 0
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
}

func (d *decoder) reject(path, allowed string) {
	d.addProblems(Problem{Field: fieldName(path), Value: d.textByPath[path], Allowed: allowed, Line: d.lineByPath[path]})
}

// fieldName returns the field that a problem names for a path; the root of the file has an empty path.
func fieldName(path string) string {
	if path == "" {
		return "file"
	}
	return path
}

// decodeValue decodes one value of the file into dst and records its problems and those of its
// fields.
func (d *decoder) decodeValue(path string, v *hujson.Value, dst reflect.Value, tag string) {
	d.lineByPath[path] = d.lineAt(v.StartOffset)
	d.textByPath[path] = describeValue(path, v)
	d.ruleByPath[path] = rule{tag: tag, kind: dst.Kind()}
	if dst.Kind() == reflect.Pointer {
		dst.Set(reflect.New(dst.Type().Elem()))
		dst = dst.Elem()
	}
	switch dst.Kind() {
	case reflect.Struct:
		d.decodeObject(path, v, dst)
	case reflect.Slice:
		d.decodeArray(path, v, dst, tag)
	default:
		d.decodeLiteral(path, v, dst)
	}
}

func (d *decoder) decodeObject(path string, v *hujson.Value, dst reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.reject(path, "an object")
		return
	}
	fields := jsonFields(dst.Type())
	d.addRules(path, dst.Type())
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		d.decodeMember(path, &object.Members[i], dst, fields, seen)
	}
}

func (d *decoder) decodeMember(path string, m *hujson.ObjectMember, dst reflect.Value, fields map[string]reflect.StructField, seen map[string]bool) {
	var name string
	if literal, ok := m.Name.Value.(hujson.Literal); ok {
		name = literal.String()
	}
	child := joinPath(path, name)
	field, known := fields[name]
	if !known || seen[name] {
		allowed := "each field once"
		if !known {
			child = joinPath(path, pathSegment(name))
			allowed = "known fields: " + strings.Join(sortedKeys(fields), ", ")
		}
		d.problems = append(d.problems, Problem{
			Field: child, Value: describeValue(child, &m.Value), Allowed: allowed, Line: d.lineAt(m.Name.StartOffset),
		})
		return
	}
	seen[name] = true
	d.decodeValue(child, &m.Value, dst.FieldByIndex(field.Index), field.Tag.Get("validate"))
}

func (d *decoder) decodeArray(path string, v *hujson.Value, dst reflect.Value, tag string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.reject(path, "a list")
		return
	}
	_, elementTag, _ := strings.Cut(tag, "dive")
	dst.Set(reflect.MakeSlice(dst.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), &array.Elements[i], dst.Index(i), strings.TrimPrefix(elementTag, ","))
	}
}

func (d *decoder) decodeLiteral(path string, v *hujson.Value, dst reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	// encoding/json ignores null without an error, which would hide a missing value.
	if !ok || literal.Kind() == 'n' || json.Unmarshal(literal, dst.Addr().Interface()) != nil {
		d.reject(path, d.describeLiteral(path, dst))
	}
}

// describeLiteral returns what a value of the file may be that was decoded into dst.
func (d *decoder) describeLiteral(path string, dst reflect.Value) string {
	if isDuration(dst.Type()) {
		name, param, _ := strings.Cut(d.ruleByPath[path].tag, "=")
		return describeDurationRule(name, param)
	}
	return describeKind(dst.Kind())
}

// addRules records the rules of all fields of a struct, including fields that the file omits. The
// problem of a missing field quotes its rule.
func (d *decoder) addRules(path string, t reflect.Type) {
	for name, field := range jsonFields(t) {
		child := joinPath(path, name)
		d.ruleByPath[child] = rule{tag: field.Tag.Get("validate"), kind: field.Type.Kind()}
		if field.Type.Kind() == reflect.Struct {
			d.addRules(child, field.Type)
		}
	}
}

// jsonFields returns the fields of a struct by their names in the file.
func jsonFields(t reflect.Type) map[string]reflect.StructField {
	fields := make(map[string]reflect.StructField, t.NumField())
	for i := range t.NumField() {
		if name := jsonName(t.Field(i)); name != "" {
			fields[name] = t.Field(i)
		}
	}
	return fields
}

// jsonName returns the name of a field in the file, or an empty string if the field is excluded from
// JSON.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func sortedKeys(fields map[string]reflect.StructField) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// pathSegment returns a field name as one segment of a path. Names that would be ambiguous there,
// such as an empty one, are quoted.
func pathSegment(name string) string {
	needsQuotes := func(r rune) bool { return !unicode.IsLetter(r) && !unicode.IsDigit(r) && r != '_' && r != '-' }
	if name == "" || strings.ContainsFunc(name, needsQuotes) {
		return strconv.Quote(truncate(name))
	}
	return truncate(name)
}

// describeValue returns the text that stands for a value in a problem.
func describeValue(path string, v *hujson.Value) string {
	// Error texts reach logs and terminals, where a token must not appear.
	if strings.EqualFold(path, "token") {
		return "the token"
	}
	switch value := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		return truncate(string(bytes.TrimSpace(value)))
	}
	return "nothing"
}

func describeKind(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}
