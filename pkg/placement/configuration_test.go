package placement_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"crocusseam/pkg/experiment"
	"crocusseam/pkg/model"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
	"crocusseam/service/peer"
)

const (
	megabit            = 1e6 / 8 // bytes
	largeDocument      = 570_000 // bytes of 2,846 routes
	slowLink           = 19 * megabit
	configurationBound = 3 * time.Second // from the acknowledgement of a configuration until it is in force
)

// slowLinks returns a deployment of 33 instances in four failure domains, more than half of
// them on slow links, with few endpoints.
func slowLinks(seed uint64) model.Config {
	config := experiment.Deployment(seed)
	config.BetweenDomains = 1400 * time.Microsecond
	config.MessageSize = func(e placement.Envelope) int { return proto.Size(peer.PlacementCodec().Encode(e)) }
	rates := []float64{200 * megabit, 200 * megabit, 62 * megabit, 62 * megabit, slowLink, slowLink, slowLink, slowLink, slowLink}
	shares := []int{65, 65, 33, 33, 0, 0, 0, 0, 0}
	for i, instances := range []int{9, 8, 8, 8} {
		d := &config.Domains[i]
		d.Instances, d.LinkRates, d.Shares, d.Endpoints = instances, rates[:instances], shares[:instances], d.Endpoints[:3]
	}
	return config
}

// configure writes a configuration with a document of some size.
func configure(w *model.World, version uint64, bytes int) {
	w.Configure(&workload.Configuration{Version: version}, make([]byte, bytes))
}

func sessionsLost(w *model.World) int {
	lost := 0
	for _, n := range w.Nodes {
		lost += n.LogEvents["peer down"]
	}
	return lost
}

// inForceWithin returns how long after a moment the last instance got a version.
func inForceWithin(t *testing.T, w *model.World, version uint64, since time.Time) time.Duration {
	t.Helper()
	last := time.Duration(0)
	for _, n := range w.Nodes {
		at, ok := n.ConfiguredAt[version]
		assert.Assert(t, ok, "%s does not have version %d", n.ID, version)
		last = max(last, at.Sub(since))
	}
	return last
}

// Guards against large configurations that come late: instances on slow links were sent
// the whole document by every other one, lost their sessions, and were sent it again.
func TestLargeConfigurationLosesNoSession(t *testing.T) {
	eachSeed(t, func(t *testing.T, seed uint64) {
		w := model.New(slowLinks(seed))
		configure(w, 2, 9000)
		w.Run(6 * time.Second)
		lostBefore, sentBefore := sessionsLost(w), make(map[*model.Node]int64)
		for _, n := range w.Nodes {
			sentBefore[n] = n.ReceivedConfigurations
		}
		since := w.Now
		configure(w, 3, largeDocument)
		w.Run(6 * time.Second)
		bound := 3*time.Duration(largeDocument/slowLink*float64(time.Second))/2 + 300*time.Millisecond
		last := inForceWithin(t, w, 3, since)
		most := int64(0)
		for _, n := range w.Nodes {
			most = max(most, n.ReceivedConfigurations-sentBefore[n])
		}
		t.Logf("last instance after %s (%s allowed), %d sessions lost, at most %.1f documents from peers", last, bound, sessionsLost(w)-lostBefore, float64(most)/largeDocument)
		assert.Check(t, last <= bound)
		assert.Check(t, sessionsLost(w) == lostBefore, "%d sessions lost", sessionsLost(w)-lostBefore)
		assert.Check(t, most <= largeDocument, "%.1f documents from peers beside the store's", float64(most)/largeDocument)
	})
}

// Guards against configurations that do not reach an instance with a silent feed in time.
func TestConfigurationReachesInstancesWithSilentFeeds(t *testing.T) {
	for _, silent := range []int{1, 10, 32} {
		t.Run(fmt.Sprint(silent), func(t *testing.T) {
			t.Parallel()
			w := model.New(slowLinks(1))
			configure(w, 2, 9000)
			w.Run(6 * time.Second)
			for i := range silent {
				w.Nodes[len(w.Nodes)-1-i].FeedSilent = true
			}
			lostBefore, since := sessionsLost(w), w.Now
			configure(w, 3, largeDocument)
			w.Run(6 * time.Second)
			last := inForceWithin(t, w, 3, since)
			t.Logf("last instance after %s, %d sessions lost", last, sessionsLost(w)-lostBefore)
			assert.Check(t, last <= configurationBound)
			assert.Check(t, sessionsLost(w) == lostBefore, "%d sessions lost", sessionsLost(w)-lostBefore)
		})
	}
}
