package document

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func readFixture(tb testing.TB, name string) []byte {
	tb.Helper()
	text, err := os.ReadFile("_fixtures/" + name)
	assert.NilError(tb, err)
	return text
}

func parseFaults(t *testing.T, text string) string {
	t.Helper()
	_, err := Parse([]byte(text))
	var list *ErrDocument
	assert.Assert(t, errors.As(err, &list), "%v", err)
	return err.Error()
}

func TestFixtureIsValid(t *testing.T) {
	d, err := Parse(readFixture(t, "booking.json"))
	assert.NilError(t, err)
	assert.Equal(t, len(d.Domains), 2)
}

func TestAllFaultsAreListedAtOnce(t *testing.T) {
	got := parseFaults(t, `{"Environment":"x","Domains":[{"Name":"east","Groups":[{"Name":"w","Endpoint":[],"Slots":"8"}]}],
		"Teams":[{"Name":7}],"Classes":[{"Name":"a","MaxQueueWait":"soon"}],"Extra":1}`)
	for _, want := range []string{
		`Domains[0].Groups[0].Endpoint is an unknown field; allowed: did you mean Endpoints?`,
		`Domains[0].Groups[0].Slots is "8"; allowed: a whole number`,
		`Teams[0].Name is 7; allowed: a string`,
		`Classes[0].MaxQueueWait is "soon"; allowed: a duration such as "1.5s"`,
		`Extra is an unknown field`,
	} {
		assert.Assert(t, strings.Contains(got, want), "%s\nlacks\n%s", got, want)
	}
}

func TestValuesOutOfBounds(t *testing.T) {
	got := parseFaults(t, `{"Environment":"","Domains":[{"Name":"east","Groups":[
		{"Name":"w","Endpoints":["10.0.0.1:9000","10.0.0.1:9000"],"Slots":0,"Connections":0,"Processors":-1,"MemoryBytes":1}]},{"Name":"east","Groups":[]}],
		"Teams":[{"Name":"t","TokenHash":"zz","Quota":-1}],"Routing":{"Policy":"Fastest","RetryBudgetPercent":200}}`)
	for _, want := range []string{
		`Environment is ""`, `Groups[0].Slots is 0; allowed: 1 to 1024`, `Endpoints[1] is "10.0.0.1:9000"`, `Processors is -1`,
		`Domains[1].Name is "east"`, `Teams[0].TokenHash is "zz"`, `Teams[0].Quota is -1`, `Routing.Policy is "Fastest"`, `RetryBudgetPercent is 200`,
	} {
		assert.Assert(t, strings.Contains(got, want), "%s\nlacks\n%s", got, want)
	}
}

// TestMutatedDocuments mutates a valid document in 10,000 ways. Each result is
// refused with a path or accepted and valid; none panics.
func TestMutatedDocuments(t *testing.T) {
	base := readFixture(t, "booking.json")
	r := rand.New(rand.NewPCG(1, 2))
	refused := 0
	for range 10_000 {
		text := mutate(r, base)
		d, err := Parse(text)
		if err == nil {
			again, err := json.Marshal(d)
			assert.NilError(t, err)
			_, err = Parse(again)
			assert.NilError(t, err, string(text))
			continue
		}
		refused++
		var list *ErrDocument
		assert.Assert(t, errors.As(err, &list) && len(list.Faults) > 0)
		for _, f := range list.Faults {
			assert.Assert(t, f.Path != "" && f.Allowed != "", "%+v in %s", f, text)
		}
	}
	assert.Assert(t, refused > 1000, "only %d were refused", refused)
}

// mutate changes bytes, or a value of the decoded document.
func mutate(r *rand.Rand, base []byte) []byte {
	text := append([]byte(nil), base...)
	if r.IntN(2) == 0 {
		for range 1 + r.IntN(3) {
			text[r.IntN(len(text))] = byte(32 + r.IntN(95))
		}
		return text
	}
	var raw any
	if err := json.Unmarshal(text, &raw); err != nil {
		panic(err)
	}
	raw = mutateValue(r, raw)
	out, err := json.Marshal(raw)
	if err != nil {
		panic(err)
	}
	return out
}

func mutateValue(r *rand.Rand, raw any) any {
	switch v := raw.(type) {
	case map[string]any:
		keys := sortedKeys(v)
		if len(keys) > 0 && r.IntN(5) > 0 {
			k := keys[r.IntN(len(keys))]
			v[k] = mutateValue(r, v[k])
			return v
		}
		v["Unknown"] = 1
		return v
	case []any:
		if len(v) > 0 && r.IntN(5) > 0 {
			i := r.IntN(len(v))
			v[i] = mutateValue(r, v[i])
			return v
		}
		return append(v, v...)
	}
	return []any{nil, -1, 1e300, "", "x", true, []any{}, map[string]any{}, "10.0.0.9:1"}[r.IntN(9)]
}

func FuzzParse(f *testing.F) {
	f.Add(readFixture(f, "booking.json"))
	f.Add([]byte(`{}`))
	f.Add([]byte(`[1,2`))
	f.Fuzz(func(t *testing.T, text []byte) {
		if _, err := Parse(text); err != nil {
			var list *ErrDocument
			assert.Assert(t, errors.As(err, &list))
		}
	})
}

func TestDiffNamesItems(t *testing.T) {
	old := readFixture(t, "booking.json")
	changed := strings.Replace(string(old), `"Slots": 8`, `"Slots": 6`, 1)
	changes, err := Diff(old, []byte(changed))
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].String(), "~ Domains[east].Groups[workers].Slots: 8 -> 6")
}
