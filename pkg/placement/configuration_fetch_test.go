package placement

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/workload"
)

var otherPeer = instance.ID{Instance: "c", Incarnation: 1}

// announce has two peers announce a configuration, as long as a time passes.
func (b *bench) announce(version uint64, size int, span time.Duration) []Send {
	var requests []Send
	for end := b.now.Add(span); b.now.Before(end); {
		b.now = b.now.Add(50 * time.Millisecond)
		b.step(b.receivedFrom(benchPeer, &Heartbeat{Configuration: version, ConfigurationBytes: size}), b.receivedFrom(otherPeer, &Heartbeat{Configuration: version, ConfigurationBytes: size}))
		requests = append(requests, b.configurationRequests()...)
	}
	return requests
}

func (b *bench) configurationRequests() []Send {
	var requests []Send
	for _, s := range effectsOf[Send](b) {
		if _, ok := s.Message.(*ConfigurationRequest); ok {
			requests = append(requests, s)
		}
	}
	return requests
}

func (b *bench) connectSources() {
	b.connectPeer()
	b.step(PeerUp{Peer: otherPeer}, b.receivedFrom(otherPeer, &Heartbeat{Configuration: 1}))
}

// The store has some time to bring a configuration. Then one peer is asked, and when it goes
// silent another one, which continues where the first has ended.
func TestConfigurationIsFetchedOnFromAnotherPeer(t *testing.T) {
	document := bytes.Repeat([]byte("x"), 100_000)
	b := newBench(t)
	b.connectSources()
	assert.Equal(t, len(b.announce(2, len(document), storeAnswerWait)), 0)
	requests := b.announce(2, len(document), 100*time.Millisecond)
	assert.Equal(t, len(requests), 1, "one peer is asked")
	first := requests[0]
	b.step(b.receivedFrom(first.Peer, &ConfigurationPart{Version: 2, Size: len(document), Data: document[:60_000]}))
	next := b.configurationRequests()
	assert.Assert(t, len(next) == 1 && next[0].Peer == first.Peer)
	assert.Equal(t, next[0].Message.(*ConfigurationRequest).Offset, 60_000)
	again := b.announce(2, len(document), partAnswerTimeout+100*time.Millisecond)
	assert.Assert(t, len(again) == 1 && again[0].Peer != first.Peer)
	assert.Equal(t, again[0].Message.(*ConfigurationRequest).Offset, 60_000)
	b.step(b.receivedFrom(first.Peer, &ConfigurationPart{Version: 2, Offset: 60_000, Size: len(document), Data: document[60_000:]}))
	assert.Equal(t, len(effectsOf[OfferConfiguration](b)), 0, "the peer is not asked any more")
	b.step(b.receivedFrom(again[0].Peer, &ConfigurationPart{Version: 2, Offset: 60_000, Size: len(document), Data: document[60_000:]}))
	offers := effectsOf[OfferConfiguration](b)
	assert.Equal(t, len(offers), 1)
	assert.Assert(t, offers[0].Version == 2 && bytes.Equal(offers[0].Raw, document))
}

// A source that uses a later version by now sends that one from its beginning.
func TestConfigurationFetchBeginsAnewWithALaterVersion(t *testing.T) {
	b := newBench(t)
	b.connectSources()
	requests := b.announce(2, 10, storeAnswerWait+100*time.Millisecond)
	assert.Equal(t, len(requests), 1)
	from := requests[0].Peer
	b.step(b.receivedFrom(from, &ConfigurationPart{Version: 2, Size: 10, Data: []byte("old")}))
	b.step(b.receivedFrom(from, &ConfigurationPart{Version: 3, Size: 6, Data: []byte("new")}))
	next := b.configurationRequests()
	assert.Assert(t, len(next) == 1)
	assert.DeepEqual(t, next[0].Message, Message(&ConfigurationRequest{Version: 3, Offset: 3, Limit: maxPartBytes}))
	b.step(b.receivedFrom(from, &ConfigurationPart{Version: 3, Offset: 3, Size: 6, Data: []byte("est")}))
	offers := effectsOf[OfferConfiguration](b)
	assert.Assert(t, len(offers) == 1 && offers[0].Version == 3 && string(offers[0].Raw) == "newest")
}

// A source serves a few peers at a time and refuses others with an empty part.
func TestConfigurationIsServedToAFewPeersAtATime(t *testing.T) {
	b := newBench(t)
	b.step(Configured{Configuration: &workload.Configuration{Version: 2}, Raw: []byte("document")})
	refused := 0
	for i := range maxServed + 1 {
		peer := instance.ID{Instance: string(rune('p' + i)), Incarnation: 1}
		b.step(PeerUp{Peer: peer})
		b.step(b.receivedFrom(peer, &ConfigurationRequest{Version: 2, Limit: maxPartBytes}))
		for _, s := range effectsOf[Send](b) {
			if part, ok := s.Message.(*ConfigurationPart); ok && len(part.Data) == 0 {
				refused++
			}
		}
	}
	assert.Equal(t, refused, 1)
}

// A starting instance leaves the configurations of its peers until the store has had its
// time, and requests none.
func TestStartingInstanceRequestsNoConfigurationBeforeTheStoreHadItsTime(t *testing.T) {
	b := &bench{t: t, now: time.Unix(1000, 0)}
	b.control = New(Config{Self: instance.ID{Instance: "a", Incarnation: 2}, Domain: "east", Share: 1, Timing: DefaultTiming()})
	b.step(PeerUp{Peer: benchPeer}, PeerUp{Peer: otherPeer})
	assert.Equal(t, len(b.announce(11, 2, storeConfigurationWait-50*time.Millisecond)), 0)
	assert.Equal(t, len(b.announce(11, 2, 100*time.Millisecond)), 1)
}
