package document

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Change is one difference between two documents. Old is empty for a value that
// was added, New for one that was removed.
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

// Diff lists the differences between the texts of two documents, by path. Items
// of lists are named by their Name where they have one. An empty old text is
// taken for an empty document.
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

// itemName names an item of a list: by its Name, by itself if it is a string,
// or by its place.
func itemName(item any, place int) string {
	switch value := item.(type) {
	case map[string]any:
		if name, ok := value["Name"].(string); ok {
			return name
		}
	case string:
		return value
	}
	return fmt.Sprint(place)
}
