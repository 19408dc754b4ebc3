package client_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	"crocusseam/pkg/client"
	"crocusseam/pkg/submission"
)

// withInstances stands in for two entry instances: the first is leaving, the
// second answers.
func withInstances() ([]netip.AddrPort, func()) {
	leaving := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, `{"Reason":"Leaving","NotRun":true,"RetryAfter":"1ms","Detail":"the instance is leaving"}`)
	}))
	serving := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"Team":"capstone","Id":"hold-4711","Status":"Complete","Results":[{"Name":"seat-12F","Output":"aGVsZA=="}]}`)
	}))
	list := []netip.AddrPort{
		netip.MustParseAddrPort(leaving.Listener.Addr().String()),
		netip.MustParseAddrPort(serving.Listener.Addr().String()),
	}
	return list, func() { leaving.Close(); serving.Close() }
}

// A seat hold may be repeated: any further attempt holds the same seat.
func ExampleClient_Submit_seatHold() {
	instances, closeAll := withInstances()
	defer closeAll()
	c := client.New(client.Config{Instances: instances, Token: "the team's token"})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := c.Submit(ctx, &submission.Submission{
		Key: submission.Key{Team: "capstone", ID: "hold-4711"}, Deadline: time.Now().Add(3 * time.Second), Repeatable: true,
		Tasks: []submission.Task{{Name: "seat-12F", Kind: "seat-hold", DeclaredRunTime: 80 * time.Millisecond}},
	}, 0)
	if err != nil {
		fmt.Println("no seat:", err)
		return
	}
	fmt.Println(answer.Status, answer.Results[0].Name, string(answer.Results[0].Output))
	// Output: Complete seat-12F held
}

// A truck dispatch must not be repeated. The client sends the same submission
// again while its outcome is open; the system runs it at most once. An unknown
// outcome goes to a person.
func ExampleClient_Submit_truckDispatch() {
	instances, closeAll := withInstances()
	defer closeAll()
	c := client.New(client.Config{Instances: instances, Token: "the team's token"})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := c.Submit(ctx, &submission.Submission{
		Key: submission.Key{Team: "ciclo-sul", ID: "truck-2026-12-04-17"}, Deadline: time.Now().Add(30 * time.Second),
		Tasks: []submission.Task{{Name: "dispatch", Kind: "truck-dispatch", DeclaredRunTime: 300 * time.Millisecond}},
	}, 0)
	var refusal *submission.Refusal
	var unanswered *client.ErrUnanswered
	switch {
	case errors.As(err, &refusal):
		fmt.Println("not accepted; not run:", refusal.NotRun)
	case errors.As(err, &unanswered):
		fmt.Println("ask again for the answer of", unanswered.Key)
	case answer.Reason == submission.OutcomeUnknown:
		fmt.Println("call the driver")
	default:
		fmt.Println(answer.Status)
	}
	// Output: Complete
}
