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

// source is a parsed file with what is known about each field path.
type source struct {
	newlines []int             // offsets of the line ends
	lines    map[string]int    // by field path
	values   map[string]string // text by field path
	rules    map[string]rule   // by field path, also of fields that the file leaves out
	problems Problems
}

// rule is the validate tag of a field and the kind of value that it applies to.
type rule struct {
	tag  string
	kind reflect.Kind
}

func newSource(data []byte) *source {
	s := &source{
		lines:  make(map[string]int),
		values: make(map[string]string),
		rules:  make(map[string]rule),
	}
	for i, b := range data {
		if b == '\n' {
			s.newlines = append(s.newlines, i)
		}
	}
	return s
}

func (s *source) line(offset int) int { return sort.SearchInts(s.newlines, offset) + 1 }

// add appends problems with their lines and leaves out fields that already have one.
func (s *source) add(problems ...Problem) {
	for _, p := range problems {
		if s.hasProblem(p.Field) {
			continue
		}
		if p.Line == 0 {
			p.Line = s.nearestLine(p.Field)
		}
		s.problems = append(s.problems, p)
	}
}

func (s *source) hasProblem(field string) bool {
	for _, p := range s.problems {
		if p.Field == field {
			return true
		}
	}
	return false
}

// nearestLine returns the line of a field or of the closest parent that the file has.
func (s *source) nearestLine(field string) int {
	for {
		if line, ok := s.lines[field]; ok {
			return line
		}
		if field == "" {
			return 0
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
}

func (s *source) reject(path, allowed string) {
	s.add(Problem{Field: fieldName(path), Value: s.values[path], Allowed: allowed, Line: s.lines[path]})
}

func fieldName(path string) string {
	if path == "" {
		return "file"
	}
	return path
}

// read decodes one value of the file into dst and records the problems of its fields.
func (s *source) read(path string, v *hujson.Value, dst reflect.Value, tag string) {
	s.lines[path] = s.line(v.StartOffset)
	s.values[path] = show(path, v)
	s.rules[path] = rule{tag: tag, kind: dst.Kind()}
	if dst.Kind() == reflect.Pointer {
		dst.Set(reflect.New(dst.Type().Elem()))
		dst = dst.Elem()
	}
	switch dst.Kind() {
	case reflect.Struct:
		s.readObject(path, v, dst)
	case reflect.Slice:
		s.readArray(path, v, dst, tag)
	default:
		s.readLiteral(path, v, dst)
	}
}

func (s *source) readObject(path string, v *hujson.Value, dst reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		s.reject(path, "an object")
		return
	}
	fields := fieldsOf(dst.Type())
	s.addRules(path, dst.Type())
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		s.readMember(path, &object.Members[i], dst, fields, seen)
	}
}

func (s *source) readMember(path string, m *hujson.ObjectMember, dst reflect.Value, fields map[string]reflect.StructField, seen map[string]bool) {
	var name string
	if literal, ok := m.Name.Value.(hujson.Literal); ok {
		name = literal.String()
	}
	child := join(path, name)
	field, known := fields[name]
	if !known || seen[name] {
		allowed := "each field once"
		if !known {
			child = join(path, printable(name))
			allowed = "known fields: " + strings.Join(sortedKeys(fields), ", ")
		}
		s.problems = append(s.problems, Problem{
			Field: child, Value: show(child, &m.Value), Allowed: allowed, Line: s.line(m.Name.StartOffset),
		})
		return
	}
	seen[name] = true
	s.read(child, &m.Value, dst.FieldByIndex(field.Index), field.Tag.Get("validate"))
}

func (s *source) readArray(path string, v *hujson.Value, dst reflect.Value, tag string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		s.reject(path, "a list")
		return
	}
	_, elementTag, _ := strings.Cut(tag, "dive")
	dst.Set(reflect.MakeSlice(dst.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		s.read(fmt.Sprintf("%s[%d]", path, i), &array.Elements[i], dst.Index(i), strings.TrimPrefix(elementTag, ","))
	}
}

func (s *source) readLiteral(path string, v *hujson.Value, dst reflect.Value) {
	literal, ok := v.Value.(hujson.Literal)
	// encoding/json skips null without an error, which would hide a missing value.
	if !ok || literal.Kind() == 'n' || json.Unmarshal(literal, dst.Addr().Interface()) != nil {
		s.reject(path, describeKind(dst.Kind()))
	}
}

// addRules records the rules of all fields of a struct, so that a missing field can be explained.
func (s *source) addRules(path string, t reflect.Type) {
	for name, field := range fieldsOf(t) {
		child := join(path, name)
		s.rules[child] = rule{tag: field.Tag.Get("validate"), kind: field.Type.Kind()}
		if field.Type.Kind() == reflect.Struct {
			s.addRules(child, field.Type)
		}
	}
}

func fieldsOf(t reflect.Type) map[string]reflect.StructField {
	fields := make(map[string]reflect.StructField, t.NumField())
	for i := range t.NumField() {
		if name := jsonName(t.Field(i)); name != "" {
			fields[name] = t.Field(i)
		}
	}
	return fields
}

// jsonName returns the name of a field in the file, or nothing if the file can't hold it.
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

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// printable quotes a field name that could not be read as part of a path, such as an empty one.
func printable(name string) string {
	isOther := func(r rune) bool { return !unicode.IsLetter(r) && !unicode.IsDigit(r) && r != '_' && r != '-' }
	if name == "" || strings.ContainsFunc(name, isOther) {
		return strconv.Quote(shorten(name))
	}
	return shorten(name)
}

// show returns the text of a value for a problem.
func show(path string, v *hujson.Value) string {
	// Error texts end up in logs and terminals, where a token must not appear.
	if strings.EqualFold(path, "token") {
		return "the token"
	}
	switch value := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		return shorten(string(bytes.TrimSpace(value)))
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
