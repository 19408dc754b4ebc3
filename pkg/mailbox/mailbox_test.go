package mailbox

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a producer that puts more although nothing is taken, or waits for good.
func TestPutAwaited(t *testing.T) {
	q := New[int]()
	isTaken := func(taken <-chan struct{}) bool {
		select {
		case <-taken:
			return true
		default:
			return false
		}
	}
	first := q.PutAwaited(1)
	q.Put(2)
	second := q.PutAwaited(3)
	assert.Check(t, !isTaken(first) && !isTaken(second))
	assert.DeepEqual(t, q.Take(), []int{1, 2, 3})
	assert.Check(t, isTaken(first) && isTaken(second))
	assert.Check(t, !isTaken(q.PutAwaited(4)))
}
