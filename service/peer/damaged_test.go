package peer

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/workload"
	"crocusseam/service/peer/wire"
)

// Messages of every kind with fields of any value: none of them ends the control
// state, and none of them is an unexpected error to it.
func TestMessagesWithAnyValuesAreBorne(t *testing.T) {
	random := rand.New(rand.NewPCG(11, 1))
	codec := PlacementCodec()
	peer := instance.ID{Instance: "b", Incarnation: 1}
	now := time.Unix(1000, 0)
	control := placement.New(placement.Config{Self: instance.ID{Instance: "a", Incarnation: 1}, Domain: "east", Share: 1, Timing: placement.DefaultTiming()})
	control.Step(now, []placement.Input{
		placement.Configured{Configuration: &workload.Configuration{Version: 1}},
		placement.PeerUp{Peer: peer},
		placement.Listed{Endpoints: []workload.Endpoint{{ID: workload.EndpointID{Name: "e"}, Service: "s", Domain: "east", Capacity: workload.Resources{MilliCPU: 64000}}}},
	})
	kinds := (&wire.Message{}).ProtoReflect().Descriptor().Oneofs().Get(0).Fields()
	taken := 0
	for range 40_000 {
		m := &wire.Message{}
		field := kinds.Get(random.IntN(kinds.Len()))
		m.ProtoReflect().Set(field, protoreflect.ValueOfMessage(m.ProtoReflect().NewField(field).Message()))
		fillRandomly(random, m.ProtoReflect().Get(field).Message(), 3)
		m.SentMillis, m.HeardMillis = randomNumber(random)%1e6, randomNumber(random)%1e6
		raw, err := proto.Marshal(m)
		assert.NilError(t, err)
		read := &wire.Message{}
		assert.NilError(t, proto.Unmarshal(raw, read))
		message, err := codec.Decode(read)
		if err != nil {
			continue
		}
		taken++
		now = now.Add(time.Duration(random.IntN(30)) * time.Millisecond)
		control.Step(now, []placement.Input{placement.Received{From: peer, Envelope: message}})
	}
	assert.Assert(t, taken > 5000, "%d", taken)
	assert.Equal(t, control.Overview().Counters.Unexpected, int64(0))
}

// anyNumber is often small and sometimes at an end of the range.
func randomNumber(random *rand.Rand) uint64 {
	switch random.IntN(4) {
	case 0:
		return 0
	case 1:
		return random.Uint64()
	case 2:
		return ^uint64(0) - uint64(random.IntN(3))
	}
	return uint64(random.IntN(5))
}

var testStrings = []string{"", "a", "b", "e", "s", "j", "127.0.0.1:1", "\x00"}

// fill sets the fields of a message to any values.
func fillRandomly(random *rand.Rand, m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if random.IntN(3) == 0 {
			continue
		}
		switch {
		case f.IsMap():
			m.Mutable(f).Map().Set(protoreflect.ValueOfString("r").MapKey(), protoreflect.ValueOfUint32(uint32(randomNumber(random))))
		case f.IsList():
			list := m.Mutable(f).List()
			for range random.IntN(4) {
				if f.Message() != nil {
					element := list.NewElement()
					if depth > 0 {
						fillRandomly(random, element.Message(), depth-1)
					}
					list.Append(element)
				} else {
					list.Append(randomValue(random, f))
				}
			}
		case f.Message() != nil:
			if depth > 0 {
				fillRandomly(random, m.Mutable(f).Message(), depth-1)
			}
		default:
			m.Set(f, randomValue(random, f))
		}
	}
}

func randomValue(random *rand.Rand, f protoreflect.FieldDescriptor) protoreflect.Value {
	n := randomNumber(random)
	switch f.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(n%2 == 0)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(testStrings[random.IntN(len(testStrings))])
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes([]byte(testStrings[random.IntN(len(testStrings))]))
	case protoreflect.Uint32Kind:
		return protoreflect.ValueOfUint32(uint32(n))
	case protoreflect.Uint64Kind:
		return protoreflect.ValueOfUint64(n)
	case protoreflect.Int64Kind:
		return protoreflect.ValueOfInt64(int64(n))
	case protoreflect.Int32Kind:
		return protoreflect.ValueOfInt32(int32(n))
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(int64(n)))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(int64(n)))
	}
	return f.Default()
}
