package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/storage"
	"crocusseam/service/api"
)

type schema struct {
	Required   []string
	Properties map[string]json.RawMessage
}

type description struct {
	Paths      map[string]map[string]struct{ Responses map[string]json.RawMessage }
	Components struct{ Schemas map[string]schema }
}

func readDescription(t *testing.T) description {
	t.Helper()
	text, err := os.ReadFile("../../docs/openapi.json")
	assert.NilError(t, err)
	var d description
	assert.NilError(t, json.Unmarshal(text, &d))
	return d
}

// TestDescriptionHasTheFieldsOfTheTypes compares the schemas with the types.
func TestDescriptionHasTheFieldsOfTheTypes(t *testing.T) {
	d := readDescription(t)
	for name, kind := range map[string]reflect.Type{
		"Submission": reflect.TypeFor[api.Submission](), "Task": reflect.TypeFor[api.Task](), "Answer": reflect.TypeFor[api.Answer](),
		"Result": reflect.TypeFor[api.Result](), "Refusal": reflect.TypeFor[api.Refusal](),
	} {
		fields := make(map[string]bool)
		for i := range kind.NumField() {
			f := kind.Field(i)
			tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			if tag == "" {
				tag = f.Name
			}
			fields[tag] = true
		}
		for p := range d.Components.Schemas[name].Properties {
			assert.Assert(t, fields[p], "%s.%s is described and does not exist", name, p)
			delete(fields, p)
		}
		assert.Equal(t, len(fields), 0, "%s lacks %v", name, fields)
	}
}

// TestRunningServerKeepsToTheDescription asks a running server and compares what
// it says with the description.
func TestRunningServerKeepsToTheDescription(t *testing.T) {
	d := readDescription(t)
	p := &memoryPlatform{Memory: storage.NewMemory()}
	storeDocument(t, p, testDocument(startEndpoints(t, 1, echoTask), 4))
	s := startReadyServer(t, p, nil)
	for _, c := range []struct{ method, path, described, body, schema string }{
		{"POST", "/v1/submissions", "/v1/submissions", body(func(*api.Submission) {}), "Answer"},
		{"POST", "/v1/submissions", "/v1/submissions", "{}", "Refusal"},
		{"GET", "/v1/submissions/capstone/one", "/v1/submissions/{team}/{id}", "", "Answer"},
		{"GET", "/v1/submissions/capstone/none", "/v1/submissions/{team}/{id}", "", "Refusal"},
		{"DELETE", "/v1/submissions/capstone/none", "/v1/submissions/{team}/{id}", "", "Refusal"},
		{"DELETE", "/v1/submissions/capstone/one", "/v1/submissions/{team}/{id}", "", "Answer"},
	} {
		request, err := http.NewRequest(c.method, "http://"+s.Address().String()+c.path, strings.NewReader(c.body))
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		_ = response.Body.Close()
		operation := d.Paths[c.described][strings.ToLower(c.method)]
		_, described := operation.Responses[response.Status[:3]]
		assert.Assert(t, described, "%s %s answers %s, which is not described", c.method, c.path, response.Status)
		var got map[string]json.RawMessage
		assert.NilError(t, json.Unmarshal(text, &got), string(text))
		want := d.Components.Schemas[c.schema]
		for field := range got {
			assert.Assert(t, want.Properties[field] != nil, "%s %s answers with %s", c.method, c.path, field)
		}
		for _, field := range want.Required {
			assert.Assert(t, got[field] != nil, "%s %s lacks %s: %s", c.method, c.path, field, text)
		}
	}
}
