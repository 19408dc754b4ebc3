package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/placement"
	"crocusseam/pkg/storage"
	"crocusseam/platform"
)

const (
	floodOutcomes     = 25_000           // in each of the 16 partitions
	floodOutcomesHold = 30 * time.Second // in which the gate looks for old ones
)

// Guards against a process that exceeds its memory because of the outcomes that a crowd's stored jobs have left in the store.
func TestFloodOfOutcomes(t *testing.T) {
	f := startFlood(t, buildGate(t))
	f.checkStored()
	store := platform.NewStore(platform.StoreConfig{Address: f.store.Address(), ReadTimeout: floodWriteTimeout, WriteTimeout: floodWriteTimeout, Connections: 1})
	value, err := json.Marshal(placement.EndedRow{Route: "seats", Digest: strings.Repeat("d", 64), Status: placement.Completed})
	assert.NilError(t, err)
	for _, part := range "0123456789abcdef" {
		for k := 0; k < floodOutcomes; k += storage.MaxEntries {
			var writes []storage.Write
			for i := range storage.MaxEntries {
				writes = append(writes, storage.Write{Key: fmt.Sprintf("ended:%c/%c%015x", part, part, k+i), Value: value, Expect: storage.AnyVersion})
			}
			_, err := store.Commit(f.ctx, writes)
			assert.NilError(t, err)
		}
	}
	time.Sleep(floodOutcomesHold)
	f.check()
}
