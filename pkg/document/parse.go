package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// Fault is one fault of a document.
type Fault struct {
	// Path leads to the field, such as Domains[0].Groups[1].Slots.
	Path    string
	Value   string
	Allowed string
}

func (f Fault) String() string {
	return fmt.Sprintf("%s is %s; allowed: %s", f.Path, f.Value, f.Allowed)
}

// ErrDocument lists every fault of a document.
type ErrDocument struct {
	Faults []Fault
}

func (e *ErrDocument) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// maxBytes bounds a document.
const maxDocumentBytes = 4 << 20

// Parse reads and validates a document as a whole. It returns *ErrDocument with
// all faults.
func Parse(text []byte) (*Document, error) {
	if len(text) > maxDocumentBytes {
		return nil, faults(Fault{"document", fmt.Sprintf("%d bytes long", len(text)), fmt.Sprintf("at most %d bytes", maxDocumentBytes)})
	}
	var raw any
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&raw); err != nil {
		return nil, faults(Fault{"document", err.Error(), "a JSON document"})
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, faults(Fault{"document", "followed by more text", "one JSON document"})
	}
	c := &checker{}
	c.walk("", reflect.TypeFor[Document](), raw)
	if len(c.faults) > 0 {
		return nil, &ErrDocument{Faults: c.faults}
	}
	var d Document
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, faults(Fault{"document", err.Error(), "values of the documented types"})
	}
	c.checkDocument(&d)
	if len(c.faults) > 0 {
		return nil, &ErrDocument{Faults: c.faults}
	}
	return &d, nil
}

func faults(list ...Fault) error { return &ErrDocument{Faults: list} }

// checker gathers the faults of a document.
type checker struct {
	faults []Fault
}

func (c *checker) add(path, value, allowed string) {
	c.faults = append(c.faults, Fault{Path: path, Value: value, Allowed: allowed})
}

// walk compares a decoded value with the type that it should have.
func (c *checker) walk(path string, t reflect.Type, raw any) {
	switch {
	case raw == nil:
		c.add(pathOrDocument(path), "null", "a value, or leave the field out")
	case reflect.PointerTo(t).Implements(reflect.TypeFor[json.Unmarshaler]()) || t.PkgPath() == "net/netip":
		c.walkText(path, t, raw)
	case t.Kind() == reflect.Struct:
		c.walkStruct(path, t, raw)
	case t.Kind() == reflect.Slice:
		c.walkList(path, t, raw)
	default:
		c.walkScalar(path, t, raw)
	}
}

func pathOrDocument(path string) string {
	if path == "" {
		return "document"
	}
	return path
}

func (c *checker) walkText(path string, t reflect.Type, raw any) {
	text, err := json.Marshal(raw)
	if err == nil {
		err = json.Unmarshal(text, reflect.New(t).Interface())
	}
	if err != nil {
		c.add(path, formatValue(raw), allowedTexts[t.Name()])
	}
}

// textForms tells how the types that are written as text look.
var allowedTexts = map[string]string{
	"Duration": `a duration such as "1.5s"`,
	"AddrPort": `an IP address and port such as "10.0.0.1:9000"`,
}

func (c *checker) walkStruct(path string, t reflect.Type, raw any) {
	object, ok := raw.(map[string]any)
	if !ok {
		c.add(pathOrDocument(path), formatValue(raw), "an object")
		return
	}
	prefix := path
	if prefix != "" {
		prefix += "."
	}
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		names = append(names, f.Name)
		if value, present := object[f.Name]; present {
			c.walk(prefix+f.Name, f.Type, value)
		}
	}
	for _, name := range sortedKeys(object) {
		if _, known := t.FieldByName(name); !known {
			c.add(prefix+name, "an unknown field", suggest(name, names))
		}
	}
}

func (c *checker) walkList(path string, t reflect.Type, raw any) {
	list, ok := raw.([]any)
	if !ok {
		c.add(path, formatValue(raw), "a list")
		return
	}
	for i, item := range list {
		c.walk(fmt.Sprintf("%s[%d]", path, i), t.Elem(), item)
	}
}

func (c *checker) walkScalar(path string, t reflect.Type, raw any) {
	text, err := json.Marshal(raw)
	if err == nil {
		err = json.Unmarshal(text, reflect.New(t).Interface())
	}
	if err != nil {
		c.add(path, formatValue(raw), map[reflect.Kind]string{
			reflect.String: "a string", reflect.Bool: "true or false", reflect.Int: "a whole number",
			reflect.Int64: "a whole number", reflect.Float64: "a number",
		}[t.Kind()])
	}
}

func formatValue(raw any) string {
	text, err := json.Marshal(raw)
	if err != nil {
		return fmt.Sprint(raw)
	}
	const longest = 60
	if len(text) > longest {
		return string(text[:longest]) + "..."
	}
	return string(text)
}

// suggest names the known field that is most like an unknown one.
func suggest(name string, known []string) string {
	best, least := "", len(name)/2+1
	for _, k := range known {
		if d := editDistance(strings.ToLower(name), strings.ToLower(k)); d < least {
			best, least = k, d
		}
	}
	if best != "" {
		return "did you mean " + best + "?"
	}
	return "one of " + strings.Join(known, ", ")
}

// distance is the edit distance of two words.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		last := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := last
			if a[i] != b[j] {
				cost = min(last, row[j], row[j+1]) + 1
			}
			last = row[j+1]
			row[j+1] = cost
		}
	}
	return row[len(b)]
}
