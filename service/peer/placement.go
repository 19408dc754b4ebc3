package peer

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"crocusseam/pkg/instance"
	"crocusseam/pkg/placement"
	"crocusseam/pkg/storage"
	"crocusseam/pkg/table"
	"crocusseam/pkg/workload"
	"crocusseam/service/peer/wire"
)

// PlacementCodec returns the codec for the messages of package placement.
func PlacementCodec() Codec[placement.Envelope] {
	return Codec[placement.Envelope]{Encode: envelopeToWire, Decode: envelopeFromWire}
}

func envelopeToWire(s placement.Envelope) *wire.Message {
	m := placementToWire(s.Message)
	m.SentMillis, m.HeardMillis = uint64(s.Sent.Milliseconds()), uint64(s.LastReceived.Milliseconds())
	return m
}

func envelopeFromWire(m *wire.Message) (placement.Envelope, error) {
	message, err := placementFromWire(m)
	if err == nil && max(m.GetSentMillis(), m.GetHeardMillis()) > maxUptimeMillis {
		err = &ErrInvalidMessage{Kind: "stamp", Cause: errUptime}
	}
	return placement.Envelope{
		Message: message, Sent: time.Duration(m.GetSentMillis()) * time.Millisecond, LastReceived: time.Duration(m.GetHeardMillis()) * time.Millisecond,
	}, err
}

// maxUptimeMillis is the longest uptime that fits into a time.Duration.
const maxUptimeMillis = uint64(math.MaxInt64 / time.Millisecond)

func placementToWire(m placement.Message) *wire.Message {
	switch m := m.(type) {
	case *placement.PlaceRequest:
		return &wire.Message{Kind: &wire.Message_PlaceTasks{PlaceTasks: placeRequestToWire(m)}}
	case *placement.Drop:
		return &wire.Message{Kind: &wire.Message_DropRuns{DropRuns: &wire.DropRuns{Runs: runsToWire(m.Runs), OnlyWaiting: m.OnlyWaiting}}}
	case *placement.RunEnded:
		return &wire.Message{Kind: &wire.Message_RunEnded{RunEnded: &wire.RunEnded{
			Run: runToWire(m.Run), How: uint32(m.How), Endpoint: m.Endpoint, ElapsedNanos: int64(m.Elapsed), Detail: m.Detail, Kept: m.Kept, Late: m.MayStartLater, Born: m.Born, StartUnanswered: m.StartUnanswered, LateForNanos: int64(m.LateFor), TooLate: m.TooLate, WorkNanos: int64(m.Work),
		}}}
	case *placement.OutcomesRecorded:
		return &wire.Message{Kind: &wire.Message_EndsRecorded{EndsRecorded: &wire.EndsRecorded{Runs: runsToWire(m.Runs)}}}
	case *placement.Inquire:
		jobs := make([]*wire.JobRound, len(m.Jobs))
		for i, j := range m.Jobs {
			jobs[i] = &wire.JobRound{Job: string(j.Job), Round: uint32(j.Round)}
		}
		return &wire.Message{Kind: &wire.Message_Inquiry{Inquiry: &wire.Inquiry{Sequence: m.Sequence, Jobs: jobs}}}
	case *placement.InquiryAnswer:
		return &wire.Message{Kind: &wire.Message_Findings{Findings: &wire.Findings{Sequence: m.Sequence, Live: runsToWire(m.Live), Covered: m.Covered}}}
	case *placement.Waiting:
		return &wire.Message{Kind: &wire.Message_RunWaiting{RunWaiting: &wire.RunWaiting{Run: runToWire(m.Run), ForNanos: int64(m.ExpectedWait)}}}
	case *placement.Advert:
		return &wire.Message{Kind: &wire.Message_Advert{Advert: advertToWire(m)}}
	case *placement.Heartbeat:
		return &wire.Message{Kind: &wire.Message_SignOfLife{SignOfLife: &wire.SignOfLife{
			Leaving: m.Leaving, Configuration: m.Configuration, ConfigurationBytes: uint32(m.ConfigurationBytes),
			UptimeNanos: int64(m.Uptime), Waiting: countsToWire(m.Waiting), Unheard: m.ReceiverSuspected, KeepsDirectory: m.KeepsDirectory, LostWaiting: countsToWire(m.LostWaiting), Adopting: m.Adopting,
			EvacuationVersion: uint64(m.EvacuationVersion), Evacuated: m.Evacuated,
			Estimates: estimatesToWire(m.Estimates),
		}}}
	case *placement.ConfigurationRequest:
		return &wire.Message{Kind: &wire.Message_SettingsRequest{SettingsRequest: &wire.SettingsRequest{Version: m.Version, Offset: uint32(m.Offset), Limit: uint32(m.Limit)}}}
	case *placement.ConfigurationPart:
		return &wire.Message{Kind: &wire.Message_Settings{Settings: &wire.Settings{Version: m.Version, Raw: m.Data, Offset: uint32(m.Offset), Size: uint32(m.Size)}}}
	case *placement.EndpointList:
		return &wire.Message{Kind: &wire.Message_EndpointList{EndpointList: &wire.EndpointList{Sequence: m.Sequence, Base: m.Base, Endpoints: endpointsToWire(m.Rows), Gone: m.Gone}}}
	case *placement.Yield:
		return &wire.Message{Kind: &wire.Message_YieldRequest{YieldRequest: &wire.YieldRequest{Endpoints: m.Endpoints}}}
	case *placement.Yielded:
		return &wire.Message{Kind: &wire.Message_Yielded{Yielded: &wire.Yielded{Endpoint: m.Endpoint, Version: uint64(m.Version)}}}
	case *placement.CancelJob:
		return &wire.Message{Kind: &wire.Message_CancelById{CancelById: &wire.CancelByID{Job: string(m.ID), Recorded: m.Recorded}}}
	case *placement.CancelConfirmed:
		return &wire.Message{Kind: &wire.Message_CancelConfirmed{CancelConfirmed: &wire.CancelConfirmed{Job: string(m.ID)}}}
	case *placement.Register:
		return &wire.Message{Kind: &wire.Message_Register{Register: &wire.Register{Job: string(m.Job), Number: m.Number, LeftNanos: int64(m.Left), Occupant: optionalInstanceToWire(m.Occupant)}}}
	case *placement.Registered:
		return &wire.Message{Kind: &wire.Message_Registered{Registered: &wire.Registered{Job: string(m.Job), Number: m.Number, Completed: m.Completed, Former: optionalInstanceToWire(m.Former)}}}
	case *placement.Occupied:
		return &wire.Message{Kind: &wire.Message_Occupied{Occupied: &wire.Occupied{Job: string(m.Job), Number: m.Number, Home: optionalInstanceToWire(m.Home)}}}
	case *placement.Recall:
		return &wire.Message{Kind: &wire.Message_Recall{Recall: &wire.Recall{Job: string(m.Job), Number: m.Number}}}
	case *placement.Release:
		jobs := make([]*wire.ReleasedJob, len(m.Jobs))
		for i, r := range m.Jobs {
			jobs[i] = &wire.ReleasedJob{Job: string(r.Job), Number: r.Number, Completed: r.Completed}
		}
		return &wire.Message{Kind: &wire.Message_Release{Release: &wire.Release{Jobs: jobs}}}
	}
	panic("no wire form for this message of package placement")
}

// optionalInstanceToWire returns nil for the zero identity.
func optionalInstanceToWire(id instance.ID) *wire.Instance {
	if id == (instance.ID{}) {
		return nil
	}
	return &wire.Instance{Name: id.Instance, Incarnation: id.Incarnation}
}

func optionalInstanceFromWire(i *wire.Instance) instance.ID {
	return instance.ID{Instance: i.GetName(), Incarnation: i.GetIncarnation()}
}

func resourcesToWire(r workload.Resources) *wire.Resources {
	return &wire.Resources{MilliCpu: int64(r.MilliCPU), MemoryMb: int64(r.MemoryMB), Accelerators: int64(r.Accelerators)}
}

func resourcesFromWire(r *wire.Resources) workload.Resources {
	return workload.Resources{MilliCPU: int(r.GetMilliCpu()), MemoryMB: int(r.GetMemoryMb()), Accelerators: int(r.GetAccelerators())}
}

func runToWire(r workload.Run) *wire.Run {
	return &wire.Run{Job: string(r.Task.Job), Step: uint32(r.Task.Step), Index: uint32(r.Task.Index), Number: uint32(r.Number)}
}

func runFromWire(r *wire.Run) workload.Run {
	return workload.Run{
		Task:   workload.TaskID{Job: workload.JobID(r.GetJob()), Step: int(r.GetStep()), Index: int(r.GetIndex())},
		Number: int(r.GetNumber()),
	}
}

func runsToWire(list []workload.Run) []*wire.Run {
	runs := make([]*wire.Run, len(list))
	for i, r := range list {
		runs[i] = runToWire(r)
	}
	return runs
}

func runsFromWire(list []*wire.Run) []workload.Run {
	if len(list) == 0 {
		return nil
	}
	runs := make([]workload.Run, len(list))
	for i, r := range list {
		runs[i] = runFromWire(r)
	}
	return runs
}

func countsToWire(counts map[string]int) map[string]uint32 {
	if len(counts) == 0 {
		return nil
	}
	out := make(map[string]uint32, len(counts))
	for name, n := range counts {
		out[name] = uint32(n)
	}
	return out
}

func countsFromWire(counts map[string]uint32) map[string]int {
	if len(counts) == 0 {
		return nil
	}
	out := make(map[string]int, len(counts))
	for name, n := range counts {
		out[name] = int(n)
	}
	return out
}

func placeRequestToWire(m *placement.PlaceRequest) *wire.PlaceTasks {
	tasks := make([]*wire.PlacedTask, len(m.Tasks))
	for i, t := range m.Tasks {
		tasks[i] = &wire.PlacedTask{Index: uint32(t.Index), Number: uint32(t.Number), Avoid: t.Avoid, ExcludeNanos: int64(t.Exclude)}
	}
	return &wire.PlaceTasks{
		Sequence: m.Sequence, Job: string(m.Job), Spec: []byte(m.Spec), Step: uint32(m.Step), Service: m.Service,
		Need: resourcesToWire(m.Need), Label: m.Label, Rack: m.Rack, EstimateNanos: int64(m.Estimate),
		ObjectiveNanos: int64(m.Objective), UsefulNanos: int64(m.Expiry), LeftNanos: int64(m.CallerTimeout), Priority: int64(m.Priority), Tasks: tasks,
		Stored: m.Stored, Round: uint32(m.Round), ExpectedNanos: int64(m.Expected),
	}
}

func placeRequestFromWire(m *wire.PlaceTasks) *placement.PlaceRequest {
	tasks := make([]placement.PlacedTask, len(m.GetTasks()))
	for i, t := range m.GetTasks() {
		tasks[i] = placement.PlacedTask{Index: int(t.GetIndex()), Number: int(t.GetNumber()), Avoid: t.GetAvoid(), Exclude: time.Duration(t.GetExcludeNanos())}
	}
	return &placement.PlaceRequest{
		Sequence: m.GetSequence(), Job: workload.JobID(m.GetJob()), Spec: string(m.GetSpec()), Step: int(m.GetStep()), Service: m.GetService(),
		Need: resourcesFromWire(m.GetNeed()), Label: m.GetLabel(), Rack: m.GetRack(), Estimate: time.Duration(m.GetEstimateNanos()),
		Objective: time.Duration(m.GetObjectiveNanos()), Expiry: time.Duration(m.GetUsefulNanos()), CallerTimeout: time.Duration(m.GetLeftNanos()), Priority: int(m.GetPriority()), Tasks: tasks,
		Stored: m.GetStored(), Round: int(m.GetRound()), Expected: time.Duration(m.GetExpectedNanos()),
	}
}

func advertToWire(m *placement.Advert) *wire.Advert {
	capacities := make([]*wire.Room, len(m.ChangedCapacity.Rows))
	for i := range m.ChangedCapacity.Rows {
		r := &m.ChangedCapacity.Rows[i]
		capacities[i] = &wire.Room{Endpoint: r.Endpoint, Free: resourcesToWire(r.Free), Speed: float32(r.Speed)}
	}
	waits := make([]*wire.PriorityWait, len(m.Waits))
	for i, w := range m.Waits {
		waits[i] = &wire.PriorityWait{Priority: int64(w.Priority), WaitNanos: int64(w.Wait)}
	}
	return &wire.Advert{
		Seen: m.LastRequest, Rooms: capacities, Gone: m.ChangedCapacity.Gone, Base: m.ChangedCapacity.Base, Sequence: m.ChangedCapacity.Sequence, Waits: waits, Total: resourcesToWire(m.Total),
	}
}

func advertFromWire(m *wire.Advert) (*placement.Advert, error) {
	var capacities []placement.FreeCapacity
	for _, r := range m.GetRooms() {
		speed := float64(r.GetSpeed())
		if math.IsNaN(speed) || math.IsInf(speed, 0) || speed <= 0 {
			return nil, errSpeed
		}
		capacities = append(capacities, placement.FreeCapacity{Endpoint: r.GetEndpoint(), Free: resourcesFromWire(r.GetFree()), Speed: speed})
	}
	var waits placement.Waits
	for _, w := range m.GetWaits() {
		waits = append(waits, placement.PriorityWait{Priority: int(w.GetPriority()), Wait: time.Duration(w.GetWaitNanos())})
	}
	return &placement.Advert{
		LastRequest: m.GetSeen(), Waits: waits, Total: resourcesFromWire(m.GetTotal()),
		ChangedCapacity: table.Difference[string, placement.FreeCapacity]{Base: m.GetBase(), Sequence: m.GetSequence(), Rows: capacities, Gone: m.GetGone()},
	}, nil
}

func endpointsToWire(list []workload.Endpoint) []*wire.ListedEndpoint {
	out := make([]*wire.ListedEndpoint, len(list))
	for i := range list {
		e := &list[i]
		out[i] = &wire.ListedEndpoint{
			Name: e.ID.Name, Born: e.ID.Born, Service: e.Service, Address: e.Address.String(), Domain: e.Domain,
			Labels: e.Labels, Capacity: resourcesToWire(e.Capacity), Draining: e.Draining, Version: e.Version, ColdUntilNanos: int64(e.ColdUntil),
		}
	}
	return out
}

func endpointsFromWire(list []*wire.ListedEndpoint) ([]workload.Endpoint, error) {
	var out []workload.Endpoint
	for _, e := range list {
		address, err := netip.ParseAddrPort(e.GetAddress())
		if err != nil {
			return nil, fmt.Errorf("endpoint %q: %w", e.GetName(), err)
		}
		out = append(out, workload.Endpoint{
			ID: workload.EndpointID{Name: e.GetName(), Born: e.GetBorn()}, Service: e.GetService(), Address: address, Domain: e.GetDomain(),
			Labels: e.GetLabels(), Capacity: resourcesFromWire(e.GetCapacity()), Draining: e.GetDraining(), Version: e.GetVersion(), ColdUntil: max(time.Duration(e.GetColdUntilNanos()), workload.ColdEndUnknown),
		})
	}
	return out, nil
}

func placementFromWire(m *wire.Message) (placement.Message, error) {
	switch k := m.GetKind().(type) {
	case *wire.Message_PlaceTasks:
		return placeRequestFromWire(k.PlaceTasks), nil
	case *wire.Message_DropRuns:
		return &placement.Drop{Runs: runsFromWire(k.DropRuns.GetRuns()), OnlyWaiting: k.DropRuns.GetOnlyWaiting()}, nil
	case *wire.Message_RunEnded:
		how := workload.How(k.RunEnded.GetHow())
		if how < workload.Done || how > workload.Unknown {
			return nil, &ErrInvalidMessage{Kind: "RunEnded", Cause: errOutcome}
		}
		return &placement.RunEnded{
			Run: runFromWire(k.RunEnded.GetRun()), How: how, Endpoint: k.RunEnded.GetEndpoint(), Born: k.RunEnded.GetBorn(),
			Elapsed: time.Duration(k.RunEnded.GetElapsedNanos()), Detail: k.RunEnded.GetDetail(), Kept: k.RunEnded.GetKept(), MayStartLater: k.RunEnded.GetLate(), StartUnanswered: k.RunEnded.GetStartUnanswered(), LateFor: time.Duration(k.RunEnded.GetLateForNanos()), TooLate: k.RunEnded.GetTooLate(), Work: time.Duration(k.RunEnded.GetWorkNanos()),
		}, nil
	case *wire.Message_EndsRecorded:
		return &placement.OutcomesRecorded{Runs: runsFromWire(k.EndsRecorded.GetRuns())}, nil
	case *wire.Message_Inquiry:
		m := &placement.Inquire{Sequence: k.Inquiry.GetSequence()}
		for _, j := range k.Inquiry.GetJobs() {
			m.Jobs = append(m.Jobs, placement.JobRound{Job: workload.JobID(j.GetJob()), Round: int(j.GetRound())})
		}
		return m, nil
	case *wire.Message_Findings:
		return &placement.InquiryAnswer{Sequence: k.Findings.GetSequence(), Live: runsFromWire(k.Findings.GetLive()), Covered: k.Findings.GetCovered()}, nil
	case *wire.Message_RunWaiting:
		return &placement.Waiting{Run: runFromWire(k.RunWaiting.GetRun()), ExpectedWait: time.Duration(k.RunWaiting.GetForNanos())}, nil
	case *wire.Message_Advert:
		a, err := advertFromWire(k.Advert)
		if err != nil {
			return nil, &ErrInvalidMessage{Kind: "Advert", Cause: err}
		}
		return a, nil
	case *wire.Message_SignOfLife:
		return &placement.Heartbeat{
			Leaving: k.SignOfLife.GetLeaving(), Configuration: k.SignOfLife.GetConfiguration(), ConfigurationBytes: int(k.SignOfLife.GetConfigurationBytes()), Uptime: time.Duration(k.SignOfLife.GetUptimeNanos()),
			Waiting: countsFromWire(k.SignOfLife.GetWaiting()), ReceiverSuspected: k.SignOfLife.GetUnheard(), KeepsDirectory: k.SignOfLife.GetKeepsDirectory(), LostWaiting: countsFromWire(k.SignOfLife.GetLostWaiting()), Adopting: k.SignOfLife.GetAdopting(),
			EvacuationVersion: storage.Version(k.SignOfLife.GetEvacuationVersion()), Evacuated: k.SignOfLife.GetEvacuated(),
			Estimates: estimatesFromWire(k.SignOfLife.GetEstimates()),
		}, nil
	case *wire.Message_Settings:
		return &placement.ConfigurationPart{Version: k.Settings.GetVersion(), Offset: int(k.Settings.GetOffset()), Size: int(k.Settings.GetSize()), Data: k.Settings.GetRaw()}, nil
	case *wire.Message_SettingsRequest:
		return &placement.ConfigurationRequest{Version: k.SettingsRequest.GetVersion(), Offset: int(k.SettingsRequest.GetOffset()), Limit: int(k.SettingsRequest.GetLimit())}, nil
	case *wire.Message_EndpointList:
		endpoints, err := endpointsFromWire(k.EndpointList.GetEndpoints())
		if err != nil {
			return nil, &ErrInvalidMessage{Kind: "EndpointList", Cause: err}
		}
		return &placement.EndpointList{Difference: table.Difference[string, workload.Endpoint]{
			Sequence: k.EndpointList.GetSequence(), Base: k.EndpointList.GetBase(), Rows: endpoints, Gone: k.EndpointList.GetGone(),
		}}, nil
	case *wire.Message_YieldRequest:
		return &placement.Yield{Endpoints: k.YieldRequest.GetEndpoints()}, nil
	case *wire.Message_Yielded:
		return &placement.Yielded{Endpoint: k.Yielded.GetEndpoint(), Version: storage.Version(k.Yielded.GetVersion())}, nil
	case *wire.Message_CancelById:
		return &placement.CancelJob{ID: workload.JobID(k.CancelById.GetJob()), Recorded: k.CancelById.GetRecorded()}, nil
	case *wire.Message_CancelConfirmed:
		return &placement.CancelConfirmed{ID: workload.JobID(k.CancelConfirmed.GetJob())}, nil
	case *wire.Message_Register:
		return &placement.Register{
			Job: workload.JobID(k.Register.GetJob()), Number: k.Register.GetNumber(), Left: time.Duration(k.Register.GetLeftNanos()), Occupant: optionalInstanceFromWire(k.Register.GetOccupant()),
		}, nil
	case *wire.Message_Registered:
		return &placement.Registered{
			Job: workload.JobID(k.Registered.GetJob()), Number: k.Registered.GetNumber(), Completed: k.Registered.GetCompleted(), Former: optionalInstanceFromWire(k.Registered.GetFormer()),
		}, nil
	case *wire.Message_Occupied:
		if k.Occupied.GetHome().GetName() == "" {
			return nil, &ErrInvalidMessage{Kind: "Occupied", Cause: errInstance}
		}
		return &placement.Occupied{Job: workload.JobID(k.Occupied.GetJob()), Number: k.Occupied.GetNumber(), Home: optionalInstanceFromWire(k.Occupied.GetHome())}, nil
	case *wire.Message_Recall:
		return &placement.Recall{Job: workload.JobID(k.Recall.GetJob()), Number: k.Recall.GetNumber()}, nil
	case *wire.Message_Release:
		m := &placement.Release{}
		for _, r := range k.Release.GetJobs() {
			m.Jobs = append(m.Jobs, placement.ReleasedJob{Job: workload.JobID(r.GetJob()), Number: r.GetNumber(), Completed: r.GetCompleted()})
		}
		return m, nil
	}
	return nil, &ErrInvalidMessage{Kind: "unknown", Cause: errKind}
}

func estimatesToWire(list []placement.TaskEstimates) []*wire.TaskEstimates {
	var out []*wire.TaskEstimates
	for i := range list {
		t := &list[i]
		out = append(out, &wire.TaskEstimates{
			Route: t.Route, Width: uint32(t.Width), Tasks: float32(t.Tasks), X: float32(t.X), Ratio: float32(t.Ratio), Xx: float32(t.XX), XRatio: float32(t.XRatio),
		})
	}
	return out
}

func estimatesFromWire(list []*wire.TaskEstimates) []placement.TaskEstimates {
	var out []placement.TaskEstimates
	for _, t := range list {
		out = append(out, placement.TaskEstimates{
			Route: t.GetRoute(), Width: int(t.GetWidth()), Tasks: float64(t.GetTasks()), X: float64(t.GetX()), Ratio: float64(t.GetRatio()), XX: float64(t.GetXx()), XRatio: float64(t.GetXRatio()),
		})
	}
	return out
}
