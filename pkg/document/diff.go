package document

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Change is one difference between two documents. Old is empty if the new
// document adds the value, and New is empty if it removes the value.
type Change struct {
	Path string
	Old  string
	New  string
}

func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff returns the differences between two documents, sorted by path. In a path,
// a list item stands under its Name if it has one, so that an item that moved
// within its list is no difference. An empty text counts as an empty document.
func Diff(oldText, newText []byte) ([]Change, error) {
	before, err := flatten(oldText)
	if err != nil {
		return nil, err
	}
	after, err := flatten(newText)
	if err != nil {
		return nil, err
	}
	var changes []Change
	for path, old := range before {
		if after[path] != old {
			changes = append(changes, Change{Path: path, Old: old, New: after[path]})
		}
	}
	for path, value := range after {
		if _, known := before[path]; !known {
			changes = append(changes, Change{Path: path, New: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return changes, nil
}

// flatten returns the document's scalar values by path.
func flatten(text []byte) (map[string]string, error) {
	flat := make(map[string]string)
	if len(text) == 0 {
		return flat, nil
	}
	var raw any
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, err
	}
	flattenInto(flat, "", raw)
	return flat, nil
}

func flattenInto(flat map[string]string, path string, raw any) {
	switch value := raw.(type) {
	case map[string]any:
		for k, v := range value {
			next := k
			if path != "" {
				next = path + "." + k
			}
			flattenInto(flat, next, v)
		}
	case []any:
		for i, v := range value {
			flattenInto(flat, fmt.Sprintf("%s[%s]", path, itemName(v, i)), v)
		}
	default:
		flat[path] = formatValue(value)
	}
}

// itemName returns what identifies a list item in a path: the Name of an object,
// a string itself, or otherwise the position in the list.
func itemName(item any, position int) string {
	switch value := item.(type) {
	case map[string]any:
		if name, ok := value["Name"].(string); ok {
			return name
		}
	case string:
		return value
	}
	return fmt.Sprint(position)
}
