package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/document"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/submission"
	"crocusseam/service/api"
)

// post submits a body and returns the HTTP status and the answer read as a refusal.
func post(t *testing.T, s *Server, body, token string) (int, api.Refusal) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+s.Address().String()+api.PathSubmissions, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	var refusal api.Refusal
	assert.NilError(t, json.Unmarshal(text, &refusal), string(text))
	return response.StatusCode, refusal
}

func body(change func(*api.Submission)) string {
	s := &api.Submission{
		Team: "capstone", ID: "one", Deadline: time.Now().Add(time.Minute).UTC(), Attempt: 1,
		Tasks: []api.Task{{Name: "t0", Kind: "hold", DeclaredRunTime: document.Duration(time.Millisecond)}},
	}
	change(s)
	text, _ := json.Marshal(s)
	return string(text)
}

func TestBadInputNamesFieldAndValue(t *testing.T) {
	p := &memoryPlatform{Memory: storage.NewMemory()}
	started := 0
	endpoints := startEndpoints(t, 2, func(http.ResponseWriter, *http.Request) { started++ })
	storeDocument(t, p, testDocument(endpoints, 4))
	s := startReadyServer(t, p, func(c *Config) { c.MaxBodyBytes = 10_000 })
	cases := []struct {
		name, body, want string
		status           int
	}{
		{"unknown field", `{"Team":"capstone","Speed":1}`, `unknown field "Speed"`, 400},
		{"no JSON", `{"Team":`, "unexpected EOF", 400},
		{"text behind", body(func(*api.Submission) {}) + "x", "text follows", 400},
		{"zero tasks", body(func(s *api.Submission) { s.Tasks = nil }), "Tasks is a list of 0; allowed: 1 to 1000 tasks", 400},
		{"over-long body", body(func(s *api.Submission) { s.Tasks[0].Payload = bytes.Repeat([]byte("x"), 20_000) }), "the body is too long", 413},
		{"negative duration", body(func(s *api.Submission) { s.Tasks[0].DeclaredRunTime = -1 }), "Tasks[0].DeclaredRunTime is -1ns", 400},
		{"duplicate names", body(func(s *api.Submission) { s.Tasks = append(s.Tasks, s.Tasks[0]) }), `Tasks[1].Name is "t0"; allowed: a name that Tasks[0] does not have`, 400},
		{"deadline past", body(func(s *api.Submission) { s.Deadline = time.Now().Add(-time.Hour) }), "Deadline is", 410},
		{"no deadline", body(func(s *api.Submission) { s.Deadline = time.Time{} }), `Deadline is ""`, 400},
		{"too large a task", body(func(s *api.Submission) { s.Tasks[0].Accelerators = 9 }), "Accelerators 9; no endpoint", 400},
		{"unknown class", body(func(s *api.Submission) { s.Class = "Fast" }), `Class is "Fast"`, 400},
		{"bad id", body(func(s *api.Submission) { s.ID = "a/b" }), `Id is "a/b"`, 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, refusal := post(t, s, c.body, "")
			assert.Equal(t, status, c.status)
			assert.Assert(t, refusal.NotRun)
			assert.Assert(t, strings.Contains(refusal.Detail, c.want), refusal.Detail)
		})
	}
	rows, err := p.Scan(context.Background(), "claim/", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 0)
	assert.Equal(t, started, 0)
}

// Guards against ids of many bytes that are kept, and sent to the platform, for a caller that asks for them.
func TestImpossibleIDIsNotLookedUp(t *testing.T) {
	p := &memoryPlatform{Memory: storage.NewMemory()}
	storeDocument(t, p, testDocument(startEndpoints(t, 1, echoTask), 4))
	s := startReadyServer(t, p, nil)
	for _, method := range []string{http.MethodGet, http.MethodDelete} {
		request, err := http.NewRequest(method, "http://"+s.Address().String()+api.PathSubmissions+"/capstone/"+strings.Repeat("x", 10_000), http.NoBody)
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		text, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, response.StatusCode, http.StatusNotFound)
		assert.Check(t, strings.Contains(string(text), "its id is not allowed") && len(text) < 1000, "%.200s", text)
	}
}

func TestWrongTokenLeaksNothing(t *testing.T) {
	p := &memoryPlatform{Memory: storage.NewMemory()}
	d := testDocument(startEndpoints(t, 1, echoTask), 4)
	d.Teams = []document.Team{{Name: "capstone", TokenHash: document.TokenHash("right")}, {Name: "other", TokenHash: document.TokenHash("theirs")}}
	d.Operators = []string{document.TokenHash("operator")}
	storeDocument(t, p, d)
	s := startReadyServer(t, p, nil)
	var responses []string
	for _, team := range []string{"capstone", "nobody"} {
		for _, token := range []string{"", "wrong", "theirs"} {
			status, refusal := post(t, s, body(func(s *api.Submission) { s.Team = team }), token)
			responses = append(responses, fmt.Sprint(status, refusal))
		}
	}
	for _, other := range responses {
		assert.Equal(t, other, responses[0])
	}
	status, _ := post(t, s, body(func(*api.Submission) {}), "right")
	assert.Equal(t, status, 200)
	response, err := http.Get("http://" + s.Address().String() + api.PathStatus)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, 401)
}

func FuzzDecodeSubmission(f *testing.F) {
	f.Add([]byte(body(func(*api.Submission) {})))
	f.Add([]byte(`{"Tasks":[{}]}`))
	f.Add([]byte(`{"Deadline":"2026-01-01T00:00:00Z","Tasks":[{"DeclaredRunTime":"1h"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := api.DecodeSubmission(text, submission.DefaultLimits())
		if err != nil {
			return
		}
		if submission.DefaultLimits().Validate(s, time.Now()) == nil {
			again := api.EncodeSubmission(s)
			encoded, err := json.Marshal(again)
			assert.NilError(t, err)
			same, err := api.DecodeSubmission(encoded, submission.DefaultLimits())
			assert.NilError(t, err)
			assert.Equal(t, same.Digest(), s.Digest())
		}
	})
}
