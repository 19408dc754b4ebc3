package rollout

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"crocusseam/pkg/document"
	"crocusseam/pkg/storage"
)

const documentTemplate = `{"Environment":"%s","Domains":[{"Name":"east","Groups":[{"Name":"w","Endpoints":["10.0.0.1:9000"],"Slots":8,
"Connections":64,"Processors":8,"MemoryBytes":1}]}],"Teams":[{"Name":"capstone"}]}`

func documentFor(name string) []byte { return []byte(strings.Replace(documentTemplate, "%s", name, 1)) }

func TestOfTwoOperatorsExactlyOneWins(t *testing.T) {
	for i := range 1000 {
		e := &Environment{Name: "trial", Table: storage.NewMemory()}
		ctx := context.Background()
		_, err := e.Apply(ctx, documentFor("first"), 0, "setup")
		assert.NilError(t, err)
		var mu sync.Mutex
		won, told := 0, 0
		var group errgroup.Group
		for k := range 2 {
			group.Go(func() error {
				_, err := e.Apply(ctx, documentFor(fmt.Sprint("change", k)), 1, fmt.Sprint("operator", k))
				mu.Lock()
				defer mu.Unlock()
				var busy *ErrBusy
				var version *ErrVersion
				switch {
				case err == nil:
					won++
				case errors.As(err, &busy) && strings.HasPrefix(busy.Staged.By, "operator"):
					told++
				case errors.As(err, &version):
					told++
				}
				return nil
			})
		}
		assert.NilError(t, group.Wait())
		assert.Equal(t, won, 1, "round %d", i)
		assert.Equal(t, told, 1, "round %d", i)
	}
}

// lossyTable loses the answers of commits, with or without their effect.
type lossyTable struct {
	*storage.Memory
	lostAnswers int
	writes      int
}

func (l *lossyTable) Commit(ctx context.Context, writes []storage.Write) (storage.Version, error) {
	if l.writes > 0 {
		l.writes--
		return 0, &storage.ErrUncertain{Step: "commit"}
	}
	version, err := l.Memory.Commit(ctx, writes)
	if l.lostAnswers > 0 {
		l.lostAnswers--
		return 0, &storage.ErrUncertain{Step: "commit"}
	}
	return version, err
}

func TestApplyWithLostAnswers(t *testing.T) {
	for _, table := range []*lossyTable{{storage.NewMemory(), 2, 0}, {storage.NewMemory(), 0, 2}, {storage.NewMemory(), 1, 1}} {
		e := &Environment{Name: "trial", Table: table}
		revision, err := e.Apply(context.Background(), documentFor("first"), 0, "operator")
		assert.NilError(t, err)
		state, err := e.Load(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, state.Active.Version, revision.Version)
		assert.Equal(t, len(state.History), 1)
	}
}

func TestStaleExpectationTellsWhoAndWhat(t *testing.T) {
	ctx := context.Background()
	e := &Environment{Name: "trial", Table: storage.NewMemory()}
	_, err := e.Apply(ctx, documentFor("first"), 0, "ana")
	assert.NilError(t, err)
	_, err = e.Apply(ctx, documentFor("second"), 0, "rui")
	var version *ErrVersion
	assert.Assert(t, errors.As(err, &version))
	assert.Equal(t, version.Actual.By, "ana")
}

func TestPromotionTakesTheVeryBytes(t *testing.T) {
	ctx := context.Background()
	trial := &Environment{Name: "trial", Table: storage.NewMemory()}
	production := &Environment{Name: "production", Table: storage.NewMemory()}
	_, err := trial.Apply(ctx, documentFor("first"), 0, "ana")
	assert.NilError(t, err)
	revision, err := production.Promote(ctx, trial, "", 0, "ana")
	assert.NilError(t, err)
	assert.Equal(t, revision.Digest, document.Digest(documentFor("first")))
	var neverRan *ErrNeverRan
	_, err = production.Promote(ctx, trial, document.Digest(documentFor("other")), 1, "ana")
	assert.Assert(t, errors.As(err, &neverRan))
}

func TestInvalidDocumentChangesNothing(t *testing.T) {
	e := &Environment{Name: "trial", Table: storage.NewMemory()}
	_, err := e.Apply(context.Background(), []byte(`{"Environment":1}`), 0, "ana")
	var faults *document.ErrDocument
	assert.Assert(t, errors.As(err, &faults))
	state, err := e.Load(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, state.Row, storage.Version(0))
}
